package org.bilberrycart.standins.engine

import org.bilberrycart.pipeline.Sink
import org.bilberrycart.standins.http.HangGate
import org.bilberrycart.standins.http.StandInServer
import org.bilberrycart.standins.pipeline.Mailboxes
import org.slf4j.LoggerFactory

/** Carries out what the engine's filter decides. */
internal class EngineSink(
    private val mailboxes: Mailboxes<EngineReply>,
    private val gate: HangGate,
    private val server: () -> StandInServer,
) : Sink<EngineAction> {
    override fun accept(action: EngineAction) = when (action) {
        is EngineAction.Send -> send(action)
        is EngineAction.Close -> mailboxes.close(action.reader.value)
        EngineAction.Die -> die()
        EngineAction.Revive -> server().revive()
        EngineAction.Pause -> gate.pause()
        EngineAction.Resume -> gate.resume()
        EngineAction.Silence -> gate.silence(server().connections())
    }

    private fun send(action: EngineAction.Send) {
        mailboxes.send(action.reader.value, action.reply)
    }

    private fun die() {
        log.info("event=engine_died port={}", server().port)
        server().die()
        gate.reset()
    }

    private companion object {
        val log = LoggerFactory.getLogger(EngineSink::class.java)
    }
}
