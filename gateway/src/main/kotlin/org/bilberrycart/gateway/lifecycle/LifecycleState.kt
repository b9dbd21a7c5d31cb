package org.bilberrycart.gateway.lifecycle

import kotlin.time.Duration

/** The phases of a node from its start to its end. */
public sealed class LifecycleState {
    /** Whether no connection of a caller is kept after an answer, since the node stops. */
    public val isEnding: Boolean
        get() = when (this) {
            is Starting, Serving -> false
            is Draining, Stopped -> true
        }

    /** The node cannot serve yet: it lacks the configuration or the list of upstreams. */
    public data class Starting(val hasConfiguration: Boolean, val hasUpstreams: Boolean) :
        LifecycleState()

    /** The node serves requests. */
    public data object Serving : LifecycleState()

    /**
     * The node was asked to stop at [since] and finishes its open calls.
     *
     * @property acceptsLongCalls whether it accepts calls that may outlast the grace.
     * @property isBrokenOff whether it has ended the calls that were still open.
     * @property closedAt when it stopped to accept connections; null while it accepts them.
     */
    public data class Draining(
        val since: Duration,
        val acceptsStreams: Boolean = true,
        val acceptsLongCalls: Boolean = true,
        val isBrokenOff: Boolean = false,
        val closedAt: Duration? = null,
    ) : LifecycleState()

    /** The node has ended. */
    public data object Stopped : LifecycleState()
}
