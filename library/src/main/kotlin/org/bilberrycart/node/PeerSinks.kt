package org.bilberrycart.node

import kotlin.time.Duration.Companion.hours
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.bilberrycart.admission.AdmissionEvent
import org.bilberrycart.admission.Usage
import org.bilberrycart.health.HealthEvent
import org.bilberrycart.journal.JournalEvent
import org.bilberrycart.membership.Member
import org.bilberrycart.membership.MemberRecord
import org.bilberrycart.membership.MembershipAction
import org.bilberrycart.membership.MembershipEvent
import org.bilberrycart.metrics.MetricsEvent
import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.VmId
import org.bilberrycart.news.GossipAction
import org.bilberrycart.news.GossipEvent
import org.bilberrycart.news.OrganisationUsage
import org.bilberrycart.peer.LinksEvent
import org.bilberrycart.peer.PeerEvent
import org.bilberrycart.peer.PeerMessage
import org.bilberrycart.pipeline.Clock
import org.bilberrycart.pipeline.Sink
import org.bilberrycart.release.ReleaseEvent
import org.bilberrycart.replication.ReplicationAction
import org.bilberrycart.replication.ReplicationEvent
import org.bilberrycart.replication.ReplicationMessage
import org.bilberrycart.replication.VerdictStore
import org.bilberrycart.routing.RoutingEvent
import org.bilberrycart.settings.FleetSettings
import org.bilberrycart.store.PlatformEvent
import org.bilberrycart.suspect.SuspectEvent
import org.bilberrycart.takeover.TakeoverAction
import org.bilberrycart.takeover.TakeoverEvent

/**
 * The sinks of the filters that exchange messages with other nodes: inbound, membership, news,
 * replication and takeover.
 *
 * Each function turns the actions of one filter into events in rings and into messages to nodes.
 *
 * @param ownUsage returns what an organisation uses on this node.
 */
internal class PeerSinks(
    private val self: Member,
    private val rings: NodeRings,
    private val links: Sink<LinksEvent>,
    private val store: Sink<PlatformEvent.Call>,
    private val versionListener: VersionListener,
    private val ownUsage: (OrganisationId) -> Usage,
    private val clock: Clock,
    private val observer: NodeObserver,
    private val fleet: () -> FleetSettings,
) {
    private val verdictStore = VerdictStore()
    private var reachableMembers: PersistentMap<VmId, Member> = persistentHashMapOf()

    /** Passes an event of a peer to the filter that handles it. */
    fun inbound(event: PeerEvent) {
        when (event) {
            is PeerEvent.Connected -> rings.membership.put(MembershipEvent.Connected(event.member))
            is PeerEvent.Received -> received(event.from, event.message)
        }
    }

    fun membership(action: MembershipAction) {
        when (action) {
            is MembershipAction.Send -> send(action.to, PeerMessage.Membership(action.message))
            is MembershipAction.Connect -> links.accept(LinksEvent.Connect(action.address))
            is MembershipAction.Changed -> {
                val changed = ReplicationEvent.MemberChanged(action.record)
                rings.replication.rings.forEach { it.put(changed) }
                rings.takeover.put(TakeoverEvent.MemberChanged(action.record))
                rings.news.put(GossipEvent.MemberChanged(action.record))
                updateNodeCount(action.record)
            }
        }
    }

    private fun updateNodeCount(record: MemberRecord) {
        val member = record.member
        reachableMembers = with(reachableMembers) {
            if (record.isReachable) put(member.vm, member) else remove(member.vm)
        }
        val count = reachableMembers.size + 1
        val index = reachableMembers.values.count { MEMBER_ORDER.compare(it, self) < 0 }
        rings.admission.put(AdmissionEvent.NodesChanged(count))
        rings.routing.put(RoutingEvent.NodesChanged(index, count))
    }

    fun news(action: GossipAction) {
        when (action) {
            is GossipAction.Send -> send(action.to, PeerMessage.Gossip(action.message))
            is GossipAction.UpstreamLeaving ->
                rings.health
                    .put(HealthEvent.LeavingReported(action.upstream, action.incarnation))
            is GossipAction.Crashes -> rings.suspect.put(
                SuspectEvent.SuspectReported(action.fingerprint, action.engines, CRASH_RETENTION),
            )
            is GossipAction.NewerConfiguration -> versionListener.versionAnnounced(action.version)
            is GossipAction.FleetUsage -> rings.admission.put(
                AdmissionEvent.PeerUsageReported(
                    organisation = action.usage.organisation,
                    usage = action.usage.excluding(ownUsage(action.usage.organisation)),
                ),
            )
        }
    }

    /** Returns the usage on the other nodes: this sum over all nodes less [own] of this node. */
    private fun OrganisationUsage.excluding(own: Usage) = Usage(
        requestsPerSecond = (requestsPerSecond - own.requestsPerSecond).coerceAtLeast(0.0),
        concurrent = (running - own.concurrent).coerceAtLeast(0),
        tokensPerMinute = (tokensPerMinute - own.tokensPerMinute).coerceAtLeast(0.0),
    )

    fun replication(action: ReplicationAction) {
        when (action) {
            is ReplicationAction.Release -> release(action)
            is ReplicationAction.ReleaseEnd -> releaseEnd(action)
            is ReplicationAction.Send ->
                send(action.to, PeerMessage.Replication(action.messages))
            is ReplicationAction.Answer -> answer(action)
            is ReplicationAction.Decide ->
                store.accept(verdictStore.toCall(action, clock.now()))
            is ReplicationAction.OwnershipLost -> ownershipLost(action)
            is ReplicationAction.Adopted -> rings.takeover.put(TakeoverEvent.Adopted(action))
        }
    }

    private fun release(action: ReplicationAction.Release) {
        val request = action.request
        observer.count(MetricsEvent.Released(request, action.tokens.size, clock.now()))
        rings.release.of(request)
            .putBulk(ReleaseEvent.Released(request, action.epoch, action.tokens))
    }

    private fun releaseEnd(action: ReplicationAction.ReleaseEnd) {
        val code = (action.end as? AnswerPart.Failed)?.code
        observer.count(MetricsEvent.Ended(action.request, code, clock.now()))
        rings.release.of(action.request).put(ReleaseEvent.Ended(action.request, action.end))
    }

    fun takeover(action: TakeoverAction) {
        when (action) {
            is TakeoverAction.Send -> sendOrDeliver(action.to, action.message)
            is TakeoverAction.Adopt -> adopt(action)
            is TakeoverAction.Replay -> {
                val release = rings.release.of(action.request)
                release.put(
                    ReleaseEvent.Adopted(
                        request = action.request,
                        organisation = action.organisation,
                        lineage = action.lineage,
                        tokens = action.tokens,
                    ),
                )
                release.put(ReleaseEvent.Ended(action.request, action.end))
            }
            is TakeoverAction.Reconnect -> rings.release.of(action.request).put(
                ReleaseEvent.Reconnected(
                    request = action.request,
                    organisation = action.organisation,
                    caller = action.caller,
                    after = action.after,
                ),
            )
            is TakeoverAction.Refuse -> rings.release.of(action.request)
                .put(ReleaseEvent.Refused(action.request, action.caller, action.code))
        }
    }

    private fun received(from: Member, message: PeerMessage) {
        when (message) {
            is PeerMessage.Membership ->
                rings.membership.put(MembershipEvent.Received(from, message.message))
            is PeerMessage.Replication ->
                message.messages
                    .groupBy { rings.replication.indexOf(it.request) }
                    .forEach { (shard, messages) ->
                        val received = ReplicationEvent.Received(from, messages)
                        rings.replication.rings[shard].putBulk(received)
                    }
            is PeerMessage.Gossip ->
                rings.news.put(GossipEvent.Received(from, message.message))
            is PeerMessage.Takeover ->
                rings.takeover.put(TakeoverEvent.ReplyReceived(from, message.message))
            // Unreachable: the first PeerMessage.Gossip branch handles all gossip.
            is PeerMessage.Gossip -> Unit
        }
    }

    private fun answer(action: ReplicationAction.Answer) {
        if (action.to.vm == self.vm) {
            rings.takeover.put(TakeoverEvent.ReplyReceived(self, action.message))
        } else {
            send(action.to, PeerMessage.Takeover(action.message))
        }
    }

    private fun sendOrDeliver(to: Member, message: ReplicationMessage) {
        if (to.vm == self.vm) {
            val received = ReplicationEvent.Received(self, listOf(message))
            rings.replication.of(message.request).put(received)
        } else {
            send(to, PeerMessage.Replication(listOf(message)))
        }
    }

    private fun ownershipLost(action: ReplicationAction.OwnershipLost) {
        rings.journal.of(action.request)
            .put(JournalEvent.OwnershipLost(action.request, action.epoch))
        rings.release.of(action.request).put(ReleaseEvent.OwnershipLost(action.request))
    }

    private fun adopt(action: TakeoverAction.Adopt) {
        val generation = action.generation
        rings.release.of(generation.id).put(
            ReleaseEvent.Adopted(
                request = generation.id,
                organisation = generation.organisation,
                lineage = action.lineage,
                tokens = action.tokens,
            ),
        )
        rings.journal.of(generation.id).put(
            JournalEvent.Adopted(
                generation = generation,
                epoch = action.epoch,
                tokens = action.tokens,
                policy = fleet().generationPolicy(generation.service),
            ),
        )
    }

    private companion object {
        /** How long a reported crash of engines by a request is kept after its last report. */
        val CRASH_RETENTION = 1.hours
        val MEMBER_ORDER: Comparator<Member> = compareBy({ it.dataCentre.value }, { it.vm.value })
    }

    private fun send(to: Member, message: PeerMessage) {
        links.accept(LinksEvent.Send(to, message))
    }
}
