package org.bilberrycart.bench.generations

/** A deliberate bug in the simulated run, with which a test proves that the checks detect it. */
sealed class InjectedBug {
    /** No bug: the decisions run unchanged. */
    data object None : InjectedBug()

    /**
     * A holder that has handed the generation to a new owner acknowledges the messages of the old
     * owner instead of fencing them off.
     */
    data object NoFence : InjectedBug()

    /** The table ignores the verdict it has stored and confirms every writer's own verdict. */
    data object ForgetfulTable : InjectedBug()
}
