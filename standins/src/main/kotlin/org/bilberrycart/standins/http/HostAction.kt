package org.bilberrycart.standins.http

/** What a stand-in does to its own connections. */
sealed class HostAction {
    /** Reset all connections and refuse new ones. */
    data object Die : HostAction()

    /** Accept connections again. */
    data object Revive : HostAction()

    /** Hang all responses. */
    data object Pause : HostAction()

    /** Let all responses go on. */
    data object Resume : HostAction()

    /** Hang for good the responses on connections that are open now. */
    data object Silence : HostAction()

    /** Reset the connection whose remote end has port [connection]. */
    data class Reset(val connection: Int) : HostAction()
}
