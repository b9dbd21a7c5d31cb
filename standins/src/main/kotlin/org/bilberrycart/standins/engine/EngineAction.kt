package org.bilberrycart.standins.engine

import org.bilberrycart.standins.http.HostAction

/** What an engine asks its surroundings to do. */
sealed class EngineAction {
    /** Hand [reply] to [reader]. */
    data class Send(val reader: ReaderId, val reply: EngineReply) : EngineAction()

    /** End the response of [reader]. */
    data class Close(val reader: ReaderId) : EngineAction()

    /** Do [action] to the engine's connections. */
    data class Host(val action: HostAction) : EngineAction()
}
