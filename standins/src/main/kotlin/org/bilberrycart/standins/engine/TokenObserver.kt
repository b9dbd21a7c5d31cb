package org.bilberrycart.standins.engine

/** Learns when an engine writes tokens to a connection, for measurements in the same process. */
fun interface TokenObserver {
    /** The tokens from index [from] up to and without [until] of [source] are written now. */
    fun written(source: TokenSource, from: Int, until: Int)

    /** Observes nothing. */
    object None : TokenObserver {
        override fun written(source: TokenSource, from: Int, until: Int) = Unit
    }
}
