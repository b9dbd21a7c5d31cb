package org.bilberrycart.standins.engine

import org.bilberrycart.pipeline.Sink
import org.bilberrycart.standins.http.StandInHost
import org.bilberrycart.standins.pipeline.Mailboxes

/** Carries out the actions of [EngineFilter]. */
internal class EngineSink(
    private val mailboxes: Mailboxes<EngineReply>,
    private val host: () -> StandInHost,
) : Sink<EngineAction> {
    override fun accept(action: EngineAction) = when (action) {
        is EngineAction.Send -> mailboxes.send(action.reader.value, action.reply)
        is EngineAction.Close -> mailboxes.close(action.reader.value)
        is EngineAction.Host -> host().accept(action.action)
    }
}
