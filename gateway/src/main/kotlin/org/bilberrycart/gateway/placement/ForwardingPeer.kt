package org.bilberrycart.gateway.placement

import org.bilberrycart.gateway.model.ServiceName
import org.bilberrycart.gateway.model.StreamOrigin
import org.bilberrycart.gateway.model.UpstreamEntry
import org.bilberrycart.gateway.model.UpstreamId

/**
 * Another node that takes calls which this node can't send to an upstream itself.
 *
 * @property address where it listens for callers, as HOST:PORT.
 * @property unreached the services of which it reaches no upstream either.
 */
public data class ForwardingPeer(val address: String, val unreached: Set<ServiceName>) {
    /** The id under which a call that was forwarded to it counts as tried there. */
    internal val id: UpstreamId
        get() = UpstreamId("node $address")

    /** Returns an entry for this peer in place of an upstream that [call] is sent to. */
    internal fun entryFor(call: ActiveCall): UpstreamEntry = UpstreamEntry(
        id = id,
        service = call.call.service.name,
        host = address.substringBeforeLast(':'),
        port = address.substringAfterLast(':').toInt(),
        dataCentre = "",
        slots = 1,
        softwareVersion = when (val origin = call.origin) {
            is StreamOrigin.BegunAt -> origin.softwareVersion
            StreamOrigin.NotBegun, StreamOrigin.Sought -> null
        },
    )
}
