package org.bilberrycart.node

import org.bilberrycart.metrics.MetricsEvent

/** Counts the events of the pipeline; called on the threads of the duties, so it must not block. */
public interface NodeObserver {
    /** Counts [event]. */
    public fun count(event: MetricsEvent)

    /** [duty] failed to process an event because of [cause], such as a violated invariant. */
    public fun eventFailed(duty: String, cause: Throwable)

    /** An observer that ignores all events. */
    public object None : NodeObserver {
        override fun count(event: MetricsEvent): Unit = Unit

        override fun eventFailed(duty: String, cause: Throwable): Unit = Unit
    }
}
