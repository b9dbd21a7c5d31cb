package org.bilberrycart.standins.engine

/** A fault that a test brings about. */
sealed class EngineFault {
    /** Reset all connections, lose all streams and refuse everything. */
    data object Die : EngineFault()

    /** Come back empty with the next incarnation. */
    data object Restart : EngineFault()

    /** Hang everything. */
    data object Pause : EngineFault()

    /** End [Pause]. */
    data object Resume : EngineFault()

    /** Open connections go silent for good; new ones work. */
    data object Silence : EngineFault()

    /** Take no new streams and say so. */
    data object Leave : EngineFault()

    /** Die on running a prompt that contains [prompt]; an empty one ends this. */
    data class CrashOn(val prompt: String) : EngineFault()

    /** End the running streams without a finish event. */
    data object EndEarly : EngineFault()
}
