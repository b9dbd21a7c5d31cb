package org.bilberrycart.standins.engine

/** A fault that a test injects into an engine. */
sealed class EngineFault {
    /** Resets all connections, loses all streams and refuses new connections until [Restart]. */
    data object Die : EngineFault()

    /** Starts the engine again with the next incarnation, its initial models and no streams. */
    data object Restart : EngineFault()

    /** Stops decoding and holds all responses until [Resume]. */
    data object Pause : EngineFault()

    /** Ends [Pause]. */
    data object Resume : EngineFault()

    /** Holds the responses on all open connections for good; new connections work. */
    data object Silence : EngineFault()

    /** Refuses new streams and reports that the engine is leaving. */
    data object Leave : EngineFault()

    /** Kills the engine when it starts a prompt that contains [prompt]; empty for none. */
    data class CrashOn(val prompt: String) : EngineFault()

    /** Ends the running streams without a finish event. */
    data object EndEarly : EngineFault()
}
