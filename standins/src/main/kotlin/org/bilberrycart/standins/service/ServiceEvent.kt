package org.bilberrycart.standins.service

/** What happens to a plain service. */
sealed class ServiceEvent {
    /** The time at which a running call takes effect has come. */
    data object Tick : ServiceEvent()

    /** A call arrives. */
    data class Called(val call: ServiceCall) : ServiceEvent()

    /** A test brings about [fault]; [id] waits until it is in force. */
    data class Faulted(val fault: ServiceFault, val id: CallId) : ServiceEvent()
}
