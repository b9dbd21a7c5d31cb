package org.bilberrycart.gateway.lifecycle

/** The actions that the lifecycle filter requests. */
public sealed class LifecycleAction {
    /** Reports to health checks whether the node is ready, and [why]. */
    public data class Ready(val isReady: Boolean, val why: String) : LifecycleAction()

    /** Refuses new streams, because they may not end before the process is killed. */
    public data object RefuseStreams : LifecycleAction()

    /** Accepts no new connections or requests, and closes the connections that are idle. */
    public data object StopAccepting : LifecycleAction()

    /** Aborts the [openCalls] that are still open. */
    public data class BreakOff(val openCalls: Int) : LifecycleAction()

    /** Ends the process; [openCalls] were still open. */
    public data class Exit(val openCalls: Int) : LifecycleAction()
}
