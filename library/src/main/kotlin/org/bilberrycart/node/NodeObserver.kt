package org.bilberrycart.node

import org.bilberrycart.metrics.MetricsEvent

/** Counts what the pipeline does; called from the threads of the duties and never waits. */
public interface NodeObserver {
    /** Something happened that is measured. */
    public fun count(event: MetricsEvent)

    /** An invariant or an unexpected failure stopped one event of [duty]. */
    public fun failure(duty: String, cause: Exception)

    /** Counts nothing. */
    public object None : NodeObserver {
        override fun count(event: MetricsEvent): Unit = Unit

        override fun failure(duty: String, cause: Exception): Unit = Unit
    }
}
