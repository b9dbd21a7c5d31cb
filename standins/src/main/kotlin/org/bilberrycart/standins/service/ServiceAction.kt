package org.bilberrycart.standins.service

import org.bilberrycart.standins.http.HostAction

/** An action that [ServiceFilter] decides on and [ServiceStandIn] carries out. */
sealed class ServiceAction {
    /** Sends [reply] to the response [id]. */
    data class Send(val id: CallId, val reply: ServiceReply) : ServiceAction()

    /** Ends the response [id] without a reply. */
    data class Close(val id: CallId) : ServiceAction()

    /** Applies [action] to the service's connections. */
    data class Host(val action: HostAction) : ServiceAction()
}
