package org.bilberrycart.standins.http

/** An action of a stand-in on its own connections. */
sealed class HostAction {
    /** Resets all connections and refuses new ones. */
    data object Die : HostAction()

    /** Accepts connections again. */
    data object Revive : HostAction()

    /** Holds all responses. */
    data object Pause : HostAction()

    /** Ends [Pause]. */
    data object Resume : HostAction()

    /** Holds for good the responses on the connections that are open now. */
    data object Silence : HostAction()

    /** Resets the connection with the remote port [connection]. */
    data class Reset(val connection: Int) : HostAction()
}
