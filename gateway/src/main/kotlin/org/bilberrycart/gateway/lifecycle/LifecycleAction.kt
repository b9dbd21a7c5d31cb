package org.bilberrycart.gateway.lifecycle

import kotlin.time.Duration

/** The actions that the lifecycle filter requests. */
public sealed class LifecycleAction {
    /** Reports to health checks whether the node is ready, and [why]. */
    public data class Ready(val isReady: Boolean, val why: String) : LifecycleAction()

    /** Refuses new streams, because they may not end before the process is killed. */
    public data object RefuseStreams : LifecycleAction()

    /** Refuses calls that may not be answered by [until], a time of the node's clock. */
    public data class RefuseLongCalls(val until: Duration) : LifecycleAction()

    /** Accepts no new connections or requests, and closes the connections that are idle. */
    public data object StopAccepting : LifecycleAction()

    /** Ends the [openCalls] that are still open: aborts streams, answers others with an error. */
    public data class BreakOff(val openCalls: Int) : LifecycleAction()

    /** Ends the process; [openCalls] were still open. */
    public data class Exit(val openCalls: Int) : LifecycleAction()
}
