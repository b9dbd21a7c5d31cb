package org.bilberrycart.standins.service

import org.bilberrycart.standins.http.HostAction

/** What a plain service asks its surroundings to do. */
sealed class ServiceAction {
    /** Hand [reply] to the response that waits as [id]. */
    data class Send(val id: CallId, val reply: ServiceReply) : ServiceAction()

    /** End the response that waits as [id] without a reply. */
    data class Close(val id: CallId) : ServiceAction()

    /** Do [action] to the service's connections. */
    data class Host(val action: HostAction) : ServiceAction()
}
