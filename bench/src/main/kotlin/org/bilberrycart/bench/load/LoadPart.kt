package org.bilberrycart.bench.load

/** A measurement of `bilberrycart load`. */
enum class LoadPart {
    /** The latency that a node adds to the first token and to each later one. */
    LATENCY,

    /** The tokens each second that one node relays as the offered load rises. */
    SATURATION,

    /** The threads and the heap that a node uses while many streams are open. */
    FOOTPRINT,

    /** The time that callers wait for the next token when an engine dies or goes silent. */
    RESUME,
}
