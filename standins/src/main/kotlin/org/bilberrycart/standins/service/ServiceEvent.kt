package org.bilberrycart.standins.service

/** An event that [ServiceFilter] reacts to. */
sealed class ServiceEvent {
    /** The time at which a running call takes effect has come. */
    data object Tick : ServiceEvent()

    /** A call arrives. */
    data class CallReceived(val call: ServiceCall) : ServiceEvent()

    /** A test injects [fault]; the response [id] waits until it is in force. */
    data class FaultInjected(val fault: ServiceFault, val id: CallId) : ServiceEvent()
}
