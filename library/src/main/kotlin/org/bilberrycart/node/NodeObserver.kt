package org.bilberrycart.node

import org.bilberrycart.journal.JournalAction

/** Counts what the pipeline does; called from the threads of the duties and never waits. */
public interface NodeObserver {
    /** A journal shard counted something. */
    public fun journal(action: JournalAction)

    /** An invariant or an unexpected failure stopped one event of [duty]. */
    public fun failure(duty: String, cause: Exception)

    /** Counts nothing. */
    public object None : NodeObserver {
        override fun journal(action: JournalAction): Unit = Unit

        override fun failure(duty: String, cause: Exception): Unit = Unit
    }
}
