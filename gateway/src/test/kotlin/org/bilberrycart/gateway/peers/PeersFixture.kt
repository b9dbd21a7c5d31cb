package org.bilberrycart.gateway.peers

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.gateway.model.PartReport
import org.bilberrycart.gateway.model.RetryUse

/** Builds events of gossip. */
internal object PeersFixture {
    /** When the events before the last one come. */
    val START: Duration = 1.seconds

    /** Returns a tick with the own [loads]. */
    fun tick(loads: Map<String, Int> = emptyMap()) =
        PeersEvent.Tick(loads, lossAges = emptyMap(), editions = emptyMap())

    /** Returns a message of [sender]. */
    fun received(
        sender: String,
        sequence: Long = 1,
        incarnation: Long = 1,
        loads: Map<String, Int> = emptyMap(),
        members: List<String> = emptyList(),
        lossAges: Map<String, Int> = emptyMap(),
        crashes: Map<Long, List<String>> = emptyMap(),
        retries: Int = 0,
        firstDispatches: Int = 0,
        parts: PartReport = PartReport(),
    ) = PeersEvent.Received(
        GossipMessage(
            sender,
            incarnation,
            sequence,
            members,
            loads,
            lossAges,
            crashes = crashes,
            retries = mapOf("s" to RetryUse(firstDispatches, retries)).filterValues {
                it !=
                    RetryUse()
            },
            parts = parts,
        ),
    )
}
