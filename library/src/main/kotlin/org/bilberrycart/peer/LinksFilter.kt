package org.bilberrycart.peer

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.membership.PeerAddress
import org.bilberrycart.pipeline.Filter
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.withActions

private typealias LinksStep = Step<LinksState, LinksAction>

/** Selects the link for each message and opens one if there is none. */
public class LinksFilter : Filter<LinksState, LinksEvent, LinksAction> {
    override fun step(state: LinksState, event: LinksEvent, now: Duration): LinksStep =
        when (event) {
            is LinksEvent.Send -> send(state, event)
            is LinksEvent.Connect -> dial(state, event.address, persistentListOf())
            is LinksEvent.Opened -> opened(state, event)
            is LinksEvent.Closed -> closed(state, event.link)
            is LinksEvent.DialFailed -> dialFailed(state, event.address)
        }

    private fun send(state: LinksState, send: LinksEvent.Send): LinksStep {
        val link = state.links[send.to.vm]
        if (link?.peer == send.to) return state.withActions(LinksAction.Write(link, send.message))
        if (link != null && link.peer.processNumber > send.to.processNumber) {
            return state.withActions(LinksAction.CountUnsent(1))
        }
        return dial(state, send.to.peerAddress, persistentListOf(send))
    }

    private fun dial(
        state: LinksState,
        address: PeerAddress,
        sends: PersistentList<LinksEvent.Send>,
    ): LinksStep {
        val queue = state.pendingSends[address]
        if (queue == null) {
            val next = state.copy(pendingSends = state.pendingSends.put(address, sends))
            return next.withActions(LinksAction.Dial(address))
        }
        if (queue.size + sends.size > state.pendingCapacity) {
            return state.withActions(LinksAction.CountUnsent(sends.size))
        }
        return Step(state.copy(pendingSends = state.pendingSends.put(address, queue.addAll(sends))))
    }

    private fun opened(state: LinksState, event: LinksEvent.Opened): LinksStep {
        val link = event.link
        val queue = event.dialled?.let { state.pendingSends[it] } ?: persistentListOf()
        val next = state.copy(
            links = state.links.put(link.peer.vm, link),
            pendingSends =
            event.dialled?.let { state.pendingSends.remove(it) } ?: state.pendingSends,
        )
        val (matching, misaddressed) = queue.partition { it.to == link.peer }
        val writes = matching.map { LinksAction.Write(link, it.message) }
        val actions: List<LinksAction> = listOf(LinksAction.NotifyConnected(link.peer)) + writes
        return Step(next, (actions + unsent(misaddressed.size)).toPersistentList())
    }

    private fun closed(state: LinksState, link: PeerLink): LinksStep {
        if (state.links[link.peer.vm] !== link) return Step(state)
        return Step(state.copy(links = state.links.remove(link.peer.vm)))
    }

    private fun dialFailed(state: LinksState, address: PeerAddress): LinksStep {
        val dropped = state.pendingSends[address]?.size ?: 0
        return Step(
            state.copy(pendingSends = state.pendingSends.remove(address)),
            unsent(dropped).toPersistentList(),
        )
    }

    private fun unsent(count: Int): List<LinksAction> =
        if (count == 0) emptyList() else listOf(LinksAction.CountUnsent(count))
}
