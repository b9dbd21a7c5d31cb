package org.bilberrycart.gateway.lifecycle

/** The inputs of the lifecycle filter. */
public sealed class LifecycleEvent {
    /** A configuration was applied. */
    public data object Configured : LifecycleEvent()

    /** The list of upstreams was read. */
    public data object UpstreamsListed : LifecycleEvent()

    /** The process was asked to stop. */
    public data object Terminate : LifecycleEvent()

    /** The periodic timer fired; [openCalls] have not been answered completely. */
    public data class Tick(val openCalls: Int) : LifecycleEvent()
}
