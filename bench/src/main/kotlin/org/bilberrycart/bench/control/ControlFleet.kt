package org.bilberrycart.bench.control

import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.configuration.ConfigurationDocument
import org.bilberrycart.configuration.ConfigurationEvent
import org.bilberrycart.idempotency.IdempotencyEvent
import org.bilberrycart.model.VmId
import org.bilberrycart.node.ControlDuties
import org.bilberrycart.node.ControlOutput
import org.bilberrycart.pipeline.Clock
import org.bilberrycart.store.HttpTableClient
import org.bilberrycart.store.PlatformLimits

/**
 * The control duties of several nodes in one process, over one platform stand-in.
 *
 * Announcements go from each node to all others at once, where a fleet spreads them by gossip.
 */
class ControlFleet(nodes: Int, port: Int, private val clock: Clock) : AutoCloseable {
    private val members: List<Member> = List(nodes) { Member(it, nodes, port) }

    /** Starts all duties. */
    fun start(): ControlFleet = apply {
        members.forEach {
            it.duties.start()
            it.duties.rings.configuration.put(ConfigurationEvent.FleetChanged(members.size))
        }
    }

    /** Returns when each node had [version] in force; null for a node that has not. */
    fun inForceAt(version: Long): List<Duration?> = members.map { it.adopted.get()[version] }

    /** Returns whether a node ever went back to a lower version. */
    fun hasReverted(): Boolean = members.any { member ->
        member.order.get().zipWithNext().any { (before, after) -> after <= before }
    }

    /** Returns the reads of the store that all nodes made so far. */
    fun reads(): Long = members.sumOf { it.duties.platform.snapshot.counters.reads }

    /** Tells node [index] that [version] is accepted, as an operator's command does. */
    fun tell(index: Int, version: Long) {
        members[index].duties.rings.configuration
            .offer(ConfigurationEvent.VersionAccepted(version))
    }

    /** Cuts node [index] off from the announcements of the others, or joins it again. */
    fun setDeaf(index: Int, isDeaf: Boolean) = members[index].isDeaf.set(isDeaf)

    override fun close() = members.forEach { it.close() }

    private inner class Member(private val index: Int, nodes: Int, port: Int) : ControlOutput {
        val adopted = AtomicReference<PersistentMap<Long, Duration>>(persistentMapOf())
        val order = AtomicReference(emptyList<Long>().toPersistentList())
        val isDeaf = AtomicBoolean()
        private val table = HttpTableClient("http://127.0.0.1:$port")
        val duties = ControlDuties(
            self = VmId("n$index"),
            table = table,
            output = this,
            clock = clock,
            limits = PlatformLimits.shareOf(nodes),
        )

        override fun adopt(document: ConfigurationDocument) {
            adopted.updateAndGet { it.put(document.version, clock.now()) }
            order.updateAndGet { it.add(document.version) }
        }

        override fun announce(version: Long) = members
            .filter { it !== this && !it.isDeaf.get() }
            .forEach { it.hear(ConfigurationEvent.PeerHasVersion(VmId("n$index"), version)) }

        override fun askPeer(peer: VmId) = members[indexOf(peer)]
            .hear(ConfigurationEvent.PeerRequestedDocument(VmId("n$index")))

        override fun sendDocument(peer: VmId, document: ConfigurationDocument) =
            members[indexOf(peer)].hear(ConfigurationEvent.PeerDocument(document))

        override fun readinessChanged(isReady: Boolean) = Unit

        override fun idempotencyResult(event: IdempotencyEvent) = Unit

        fun close() {
            duties.close()
            table.close()
        }

        private fun hear(event: ConfigurationEvent) {
            duties.rings.configuration.offer(event)
        }

        private fun indexOf(peer: VmId): Int = peer.value.removePrefix("n").toInt()
    }
}
