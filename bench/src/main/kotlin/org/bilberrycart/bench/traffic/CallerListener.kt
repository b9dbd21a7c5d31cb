package org.bilberrycart.bench.traffic

/** Learns what comes of one request; the calls come one after the other. */
interface CallerListener {
    /** The token [text] at [index] came at the `System.nanoTime` [now]. */
    fun token(index: Int, text: String, now: Long)

    /** The answer ended by its finish event. */
    fun finished()

    /** The request was refused or the answer broke off, with [reason]. */
    fun failed(reason: String)
}
