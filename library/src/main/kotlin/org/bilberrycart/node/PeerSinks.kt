package org.bilberrycart.node

import org.bilberrycart.journal.JournalEvent
import org.bilberrycart.membership.Member
import org.bilberrycart.membership.MembershipAction
import org.bilberrycart.membership.MembershipEvent
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
import org.bilberrycart.settings.FleetSettings
import org.bilberrycart.takeover.TakeoverAction
import org.bilberrycart.takeover.TakeoverEvent

/** Carries the actions of replication, takeover and membership to rings and to other nodes. */
internal class PeerSinks(
    private val self: Member,
    private val rings: NodeRings,
    private val links: Sink<LinksEvent>,
    private val clock: Clock,
    private val fleet: () -> FleetSettings,
) {
    private val verdicts = VerdictStore()

    /** Hands what a peer said to the filter that it is for. */
    fun inbound(event: PeerEvent) {
        when (event) {
            is PeerEvent.Met -> rings.membership.put(MembershipEvent.Met(event.member))
            is PeerEvent.Received -> received(event.from, event.message)
        }
    }

    fun membership(action: MembershipAction) {
        when (action) {
            is MembershipAction.Send -> send(action.to, PeerMessage.Membership(action.message))
            is MembershipAction.Greet -> links.accept(LinksEvent.Greet(action.address))
            is MembershipAction.Changed -> {
                val changed = ReplicationEvent.MemberChanged(action.record)
                rings.replication.rings.forEach { it.put(changed) }
                rings.takeover.put(TakeoverEvent.MemberChanged(action.record))
            }
        }
    }

    fun replication(action: ReplicationAction) {
        when (action) {
            is ReplicationAction.Release -> rings.release.of(action.request)
                .putBulk(ReleaseEvent.Released(action.request, action.epoch, action.tokens))
            is ReplicationAction.ReleaseEnd -> rings.release.of(action.request)
                .put(ReleaseEvent.Ended(action.request, action.end))
            is ReplicationAction.Send ->
                send(action.to, PeerMessage.Replication(action.messages))
            is ReplicationAction.Answer -> answer(action)
            is ReplicationAction.Decide ->
                rings.platform.put(verdicts.toCall(action, clock.now()))
            is ReplicationAction.Disown -> disown(action)
            is ReplicationAction.Adopted -> rings.takeover.put(TakeoverEvent.Adopted(action))
        }
    }

    fun takeover(action: TakeoverAction) {
        when (action) {
            is TakeoverAction.Ask -> ask(action.to, action.message)
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
            is PeerMessage.Takeover ->
                rings.takeover.put(TakeoverEvent.Answered(from, message.message))
            // No duty of this node spreads news yet, so a peer's news is not for it.
            is PeerMessage.News -> Unit
        }
    }

    private fun answer(action: ReplicationAction.Answer) {
        if (action.to.vm == self.vm) {
            rings.takeover.put(TakeoverEvent.Answered(self, action.message))
        } else {
            send(action.to, PeerMessage.Takeover(action.message))
        }
    }

    private fun ask(to: Member, message: ReplicationMessage) {
        if (to.vm == self.vm) {
            val received = ReplicationEvent.Received(self, listOf(message))
            rings.replication.of(message.request).put(received)
        } else {
            send(to, PeerMessage.Replication(listOf(message)))
        }
    }

    private fun disown(action: ReplicationAction.Disown) {
        rings.journal.of(action.request)
            .put(JournalEvent.Disowned(action.request, action.epoch))
        rings.release.of(action.request).put(ReleaseEvent.Disowned(action.request))
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

    private fun send(to: Member, message: PeerMessage) {
        links.accept(LinksEvent.Send(to, message))
    }
}
