package org.bilberrycart.standins.engine

/** Notified when an engine writes tokens to a connection; for measurements in one process. */
fun interface TokenObserver {
    /** Called when the tokens of [source] from index [from] until [until] are written. */
    fun written(source: TokenSource, from: Int, until: Int)

    /** An observer that ignores all calls. */
    object None : TokenObserver {
        override fun written(source: TokenSource, from: Int, until: Int) = Unit
    }
}
