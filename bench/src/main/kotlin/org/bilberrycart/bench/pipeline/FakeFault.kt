package org.bilberrycart.bench.pipeline

/** A fault that a randomised run brings about. */
internal enum class FakeFault {
    /** An engine dies with all its streams; it is back later, empty. */
    DIE,

    /** A dead or paused engine is back. */
    RETURN,

    /** An engine hangs. */
    PAUSE,

    /** The open connections of an engine go silent; new ones work. */
    SILENCE,

    /** A stream ends before its finish event. */
    END_EARLY,

    /** A stream sends its last token again. */
    REPEAT_TOKEN,

    /** A stream leaves out a token. */
    SKIP_TOKEN,

    /** An engine leaves. */
    LEAVE,
}
