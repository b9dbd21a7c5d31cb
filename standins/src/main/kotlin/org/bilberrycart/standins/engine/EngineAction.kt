package org.bilberrycart.standins.engine

/** What an engine asks its surroundings to do. */
sealed class EngineAction {
    /** Hand [reply] to [reader]. */
    data class Send(val reader: ReaderId, val reply: EngineReply) : EngineAction()

    /** End the response of [reader]. */
    data class Close(val reader: ReaderId) : EngineAction()

    /** Reset all connections and refuse new ones. */
    data object Die : EngineAction()

    /** Accept connections again. */
    data object Revive : EngineAction()

    /** Hang all responses. */
    data object Pause : EngineAction()

    /** Let all responses go on. */
    data object Resume : EngineAction()

    /** Hang for good the responses on connections that are open now. */
    data object Silence : EngineAction()
}
