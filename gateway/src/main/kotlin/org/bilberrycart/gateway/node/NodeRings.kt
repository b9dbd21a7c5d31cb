package org.bilberrycart.gateway.node

import org.bilberrycart.gateway.discovery.DiscoveryEvent
import org.bilberrycart.gateway.entry.EntryEvent
import org.bilberrycart.gateway.lifecycle.LifecycleEvent
import org.bilberrycart.gateway.placement.PlacementEvent
import org.bilberrycart.gateway.relay.RelayEvent
import org.bilberrycart.pipeline.Ring

/** The rings that join the duties of a node. */
internal class NodeRings {
    val entry = Ring<EntryEvent>("entry", ENTRY_CAPACITY)
    val placement = Ring<PlacementEvent>("placement", CAPACITY, RESERVE)
    val relay = Ring<RelayEvent>("relay", CAPACITY)
    val discovery = Ring<DiscoveryEvent>("discovery", CONTROL_CAPACITY)
    val lifecycle = Ring<LifecycleEvent>("lifecycle", CONTROL_CAPACITY)

    /** Returns how full each ring is and was. */
    fun stats() = listOf(entry, placement, relay, discovery, lifecycle).map { it.stats() }

    private companion object {
        const val ENTRY_CAPACITY = 4096
        const val CAPACITY = 16_384
        const val RESERVE = 4096
        const val CONTROL_CAPACITY = 256
    }
}
