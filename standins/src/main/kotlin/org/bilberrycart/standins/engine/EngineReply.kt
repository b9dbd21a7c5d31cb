package org.bilberrycart.standins.engine

/** A reply of the engine's duty to a reader. */
sealed class EngineReply {
    /** The stream exists; its tokens follow. */
    data class Accepted(val source: TokenSource) : EngineReply()

    /** The request is refused with the HTTP [status]. */
    data class Refused(val status: Int, val error: String, val fencing: Long? = null) :
        EngineReply()

    /** The tokens from index [from], inclusive, to [until], exclusive. */
    data class Tokens(val from: Int, val until: Int) : EngineReply()

    /** The answer ended after [tokens] tokens, the prefix included. */
    data class Finished(val reason: String, val tokens: Int) : EngineReply()

    /** A cancellation, a command or a fault was carried out. */
    data object Done : EngineReply()
}
