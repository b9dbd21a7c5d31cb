package org.bilberrycart.standins.engine

import org.bilberrycart.standins.http.HostAction

/** An action that [EngineFilter] decides on and [EngineSink] carries out. */
sealed class EngineAction {
    /** Sends [reply] to [reader]. */
    data class Send(val reader: ReaderId, val reply: EngineReply) : EngineAction()

    /** Ends the response of [reader]. */
    data class Close(val reader: ReaderId) : EngineAction()

    /** Applies [action] to the engine's connections. */
    data class Host(val action: HostAction) : EngineAction()
}
