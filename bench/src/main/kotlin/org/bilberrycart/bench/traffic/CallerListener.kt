package org.bilberrycart.bench.traffic

/** Receives the answer of one request; its functions are never called concurrently. */
interface CallerListener {
    /** The token [text] with [index] arrived at the `System.nanoTime` [now]. */
    fun tokenArrived(index: Int, text: String, now: Long)

    /** The answer ended with a finish event. */
    fun finished()

    /** The request was refused or its answer broke off; [reason] is the body or the cause. */
    fun failed(reason: String)
}
