package org.bilberrycart.standins.engine

/** What a reader receives from the engine's duty. */
sealed class EngineReply {
    /** The stream exists; tokens follow. */
    data class Accepted(val source: TokenSource) : EngineReply()

    /** The request is refused with the HTTP [status]. */
    data class Refused(val status: Int, val error: String, val fencing: Long? = null) :
        EngineReply()

    /** The tokens from index [from] up to and without [until]. */
    data class Tokens(val from: Int, val until: Int) : EngineReply()

    /** The answer ended after [tokens] tokens, the prefix included. */
    data class Finished(val reason: String, val tokens: Int) : EngineReply()

    /** A cancel, an order or a fault was carried out. */
    data object Done : EngineReply()
}
