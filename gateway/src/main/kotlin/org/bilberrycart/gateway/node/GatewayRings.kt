package org.bilberrycart.gateway.node

import org.bilberrycart.gateway.crashes.CrashRecordsEvent
import org.bilberrycart.gateway.discovery.DiscoveryEvent
import org.bilberrycart.gateway.entry.EntryEvent
import org.bilberrycart.gateway.lifecycle.LifecycleEvent
import org.bilberrycart.gateway.origins.OriginsEvent
import org.bilberrycart.gateway.placement.PlacementEvent
import org.bilberrycart.gateway.relay.RelayEvent
import org.bilberrycart.pipeline.Ring

/**
 * The rings that connect the duties of a gateway node.
 *
 * The duties form cycles: placement and the relay send each other events, and a caller's failed
 * answer leads from placement to `entry`. So that no cycle of full rings holds all of its duties,
 * and no call holds a change of the configuration or of the upstreams:
 * - New calls are only offered to `entry` and `placement`, and refused if these are full.
 * - The relay's reports leave the reserve of `placement` free.
 * - All other events about calls use the reserves, which have room for the events of
 *   [MAX_OPEN_CALLS] calls; a node admits no more calls at a time.
 */
internal class GatewayRings {
    val entry = Ring<EntryEvent>("entry", ENTRY_CAPACITY, ENTRY_RESERVE)
    val placement = Ring<PlacementEvent>("placement", PLACEMENT_CAPACITY, PLACEMENT_RESERVE)
    val relay = Ring<RelayEvent>("relay", RELAY_CAPACITY)
    val discovery = Ring<DiscoveryEvent>("discovery", CONTROL_CAPACITY)
    val lifecycle = Ring<LifecycleEvent>("lifecycle", CONTROL_CAPACITY, CONTROL_RESERVE)
    val origins = Ring<OriginsEvent>("origins", ORIGINS_CAPACITY)
    val crashes = Ring<CrashRecordsEvent>("crashes", CONTROL_CAPACITY)

    private val all = listOf(entry, placement, relay, discovery, lifecycle, origins, crashes)

    /** Returns the statistics of each ring. */
    fun stats() = all.map { it.stats() }

    /** Closes all rings, so that no duty waits to put an event into one. */
    fun close() = all.forEach { it.close() }

    /** Offers a caller's request to `entry` while [openCalls] are open; returns if it is taken. */
    fun admit(request: EntryEvent.Received, openCalls: Int): Boolean =
        openCalls <= MAX_OPEN_CALLS && entry.offer(request)

    companion object {
        /** How many calls may be open at a time. */
        const val MAX_OPEN_CALLS = 8_192

        /** Events that one open call may have in a ring at a time, with attempts side by side. */
        private const val EVENTS_PER_CALL = 6
        private const val CONTROL_CAPACITY = 256
        private const val CONTROL_RESERVE = 64
        private const val ENTRY_RESERVE = MAX_OPEN_CALLS + CONTROL_CAPACITY
        private const val ENTRY_CAPACITY = 3_072 + ENTRY_RESERVE
        private const val PLACEMENT_RESERVE = EVENTS_PER_CALL * MAX_OPEN_CALLS
        private const val PLACEMENT_CAPACITY = 16_384 + PLACEMENT_RESERVE
        private const val ORIGINS_CAPACITY = EVENTS_PER_CALL * MAX_OPEN_CALLS
        private const val RELAY_CAPACITY = EVENTS_PER_CALL * MAX_OPEN_CALLS
    }
}
