package org.bilberrycart.bench.generations

/** A deliberate bug in a simulated run; tests use it to prove that the run's checks detect it. */
sealed class InjectedBug {
    /** No bug: the decisions run unchanged. */
    data object None : InjectedBug()

    /**
     * A holder that has handed the generation to a new owner acknowledges the messages of the old
     * owner instead of fencing them off.
     */
    data object NoFence : InjectedBug()

    /** The table accepts every verdict instead of returning the first one that was stored. */
    data object ForgetfulTable : InjectedBug()
}
