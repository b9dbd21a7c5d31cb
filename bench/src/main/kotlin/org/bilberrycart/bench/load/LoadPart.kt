package org.bilberrycart.bench.load

/** The measurements of `bilberrycart load`. */
enum class LoadPart {
    /** The time that a node adds to each token, and to the first one. */
    LATENCY,

    /** The tokens a second that one node relays as more are offered. */
    SATURATION,

    /** The threads and the heap at many open streams. */
    FOOTPRINT,

    /** The waits of callers when an engine is reset or falls silent. */
    RESUME,
}
