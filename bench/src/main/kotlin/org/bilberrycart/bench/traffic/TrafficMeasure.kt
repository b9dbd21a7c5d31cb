package org.bilberrycart.bench.traffic

/** A duration that a load measures as its callers see it. */
enum class TrafficMeasure {
    /** The time from sending a request to its first token. */
    FIRST_TOKEN,

    /** [FIRST_TOKEN] of the organisations whose arrival rate does not change. */
    STEADY_FIRST_TOKEN,

    /** The time between two successive tokens. */
    INTER_TOKEN,

    /** The time from the write of a token by an engine until the caller receives it. */
    TRANSIT,

    /** The time from the last token before the loss of an engine to the first one after it. */
    RESUME,
}
