package org.bilberrycart.gateway.lifecycle

import kotlin.time.Duration

/** Where a node is between its start and its end. */
public sealed class LifecycleState {
    /** It can't serve yet: it lacks the configuration or the list of upstreams. */
    public data class Starting(val hasConfiguration: Boolean, val hasUpstreams: Boolean) :
        LifecycleState()

    /** It serves. */
    public data object Serving : LifecycleState()

    /** It was told to stop at [since] and ends what it has. */
    public data class Draining(
        val since: Duration,
        val takesStreams: Boolean = true,
        val isAccepting: Boolean = true,
    ) : LifecycleState()

    /** It has ended. */
    public data object Stopped : LifecycleState()
}
