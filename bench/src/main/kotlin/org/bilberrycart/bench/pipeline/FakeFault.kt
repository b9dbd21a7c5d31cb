package org.bilberrycart.bench.pipeline

/** A fault that a randomised run injects into the fake engines. */
internal enum class FakeFault {
    /** An engine stops and loses all its streams; it may return later without any. */
    DIE,

    /** A dead or paused engine runs again. */
    RETURN,

    /** An engine hangs: it keeps its streams, but sends nothing. */
    PAUSE,

    /** The open connections of an engine send nothing more; new connections work. */
    SILENCE,

    /** A stream ends before its finish event. */
    END_EARLY,

    /** A stream sends its last token again. */
    REPEAT_TOKEN,

    /** A stream skips a token. */
    SKIP_TOKEN,

    /** An engine reports that it is leaving the fleet. */
    LEAVE,
}
