package org.bilberrycart.bench.generations

/** A fault put into the run on purpose, to see that the checks find it. */
sealed class PlantedFault {
    /** The decisions run as they are. */
    data object None : PlantedFault()

    /** A holder that gave the generation away confirms to the old owner instead of fencing it. */
    data object NoFence : PlantedFault()

    /** The table forgets verdicts, so that each writer gets its own way. */
    data object ForgetfulTable : PlantedFault()
}
