package org.bilberrycart.gateway.lifecycle

/** What the life cycle asks for. */
public sealed class LifecycleAction {
    /** Say that the node is ready, or that it isn't. */
    public data class Ready(val isReady: Boolean, val why: String) : LifecycleAction()

    /** Take no new streams, which may not end in time. */
    public data object RefuseStreams : LifecycleAction()

    /** Take no new connections, and nothing more on open ones. */
    public data object StopAccepting : LifecycleAction()

    /** Break off what is still open. */
    public data class BreakOff(val openCalls: Int) : LifecycleAction()

    /** End the process. */
    public data class Exit(val openCalls: Int) : LifecycleAction()
}
