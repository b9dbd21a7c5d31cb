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
 * The control duties of several nodes in one process, which use the same platform stand-in.
 *
 * Each node sends its announcements directly to all others, whereas a real fleet spreads them by
 * gossip.
 */
class ControlFleet(nodes: Int, port: Int, private val clock: Clock) : AutoCloseable {
    private val members: List<Member> = List(nodes) { Member(it, nodes, port) }

    /** Starts the duties of all nodes. */
    fun start(): ControlFleet = apply {
        members.forEach {
            it.duties.start()
            it.duties.rings.configuration.put(ConfigurationEvent.FleetChanged(members.size))
        }
    }

    /** Returns the time at which each node adopted [version]; null for a node that has not. */
    fun adoptedAt(version: Long): List<Duration?> = members.map { it.adoptedAt.get()[version] }

    /** Returns whether any node adopted a version that is not newer than its previous one. */
    fun hasReverted(): Boolean = members.any { member ->
        member.adoptedVersions.get().zipWithNext().any { (before, after) -> after <= before }
    }

    /** Returns the number of store reads by all nodes so far. */
    fun reads(): Long = members.sumOf { it.duties.platform.snapshot.counters.reads }

    /** Reports to node [index] that [version] is accepted, as an operator's command does. */
    fun reportAccepted(index: Int, version: Long) {
        members[index].duties.rings.configuration
            .offer(ConfigurationEvent.VersionAccepted(version))
    }

    /** Sets whether node [index] receives no announcements from the others. */
    fun setIsolated(index: Int, isIsolated: Boolean) = members[index].isIsolated.set(isIsolated)

    override fun close() = members.forEach { it.close() }

    private inner class Member(private val index: Int, nodes: Int, port: Int) : ControlOutput {
        val adoptedAt = AtomicReference<PersistentMap<Long, Duration>>(persistentMapOf())
        val adoptedVersions = AtomicReference(emptyList<Long>().toPersistentList())
        val isIsolated = AtomicBoolean()
        private val table = HttpTableClient("http://127.0.0.1:$port")
        val duties = ControlDuties(
            self = VmId("n$index"),
            table = table,
            output = this,
            clock = clock,
            limits = PlatformLimits.shareOf(nodes),
        )

        override fun adopt(document: ConfigurationDocument) {
            adoptedAt.updateAndGet { it.put(document.version, clock.now()) }
            adoptedVersions.updateAndGet { it.add(document.version) }
        }

        override fun announce(version: Long) = members
            .filter { it !== this && !it.isIsolated.get() }
            .forEach { it.receive(ConfigurationEvent.PeerHasVersion(VmId("n$index"), version)) }

        override fun askPeer(peer: VmId) = members[indexOf(peer)]
            .receive(ConfigurationEvent.PeerRequestedDocument(VmId("n$index")))

        override fun sendDocument(peer: VmId, document: ConfigurationDocument) =
            members[indexOf(peer)].receive(ConfigurationEvent.PeerDocument(document))

        override fun readinessChanged(isReady: Boolean) = Unit

        override fun idempotencyResult(event: IdempotencyEvent) = Unit

        fun close() {
            duties.close()
            table.close()
        }

        private fun receive(event: ConfigurationEvent) {
            duties.rings.configuration.offer(event)
        }

        private fun indexOf(peer: VmId): Int = peer.value.removePrefix("n").toInt()
    }
}
