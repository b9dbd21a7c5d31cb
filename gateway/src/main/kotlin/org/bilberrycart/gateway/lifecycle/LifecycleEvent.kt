package org.bilberrycart.gateway.lifecycle

/** What reaches the life cycle of a node. */
public sealed class LifecycleEvent {
    /** A configuration is in force. */
    public data object Configured : LifecycleEvent()

    /** The list of upstreams was read. */
    public data object UpstreamsListed : LifecycleEvent()

    /** The node is told to stop. */
    public data object Terminate : LifecycleEvent()

    /** Time has passed; [openCalls] wait for an answer. */
    public data class Tick(val openCalls: Int) : LifecycleEvent()
}
