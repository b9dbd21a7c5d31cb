package org.bilberrycart.bench.traffic

/** What a load measures, all as its callers see it. */
enum class Measure {
    /** From sending a request to its first token. */
    FIRST_TOKEN,

    /** [FIRST_TOKEN] of the organisations whose rate stays as it is. */
    STEADY_FIRST_TOKEN,

    /** From one token to the next. */
    INTER_TOKEN,

    /** From an engine's write of a token to the caller's receipt. */
    TRANSIT,

    /** From the last token before the loss of an engine to the first one after it. */
    RESUME,
}
