package org.bilberrycart.gateway.peers

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.bilberrycart.pipeline.Filter
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.withActions

/**
 * Tells other nodes what this one does and puts together what they say.
 *
 * News are soft: each message replaces the one before, lost ones do no harm, and a peer that is not
 * heard for [SILENCE] counts for nothing.
 */
public class PeersFilter : Filter<PeersState, PeersEvent, PeersAction> {
    override fun step(
        state: PeersState,
        event: PeersEvent,
        now: Duration,
    ): Step<PeersState, PeersAction> = when (event) {
        is PeersEvent.Received -> received(state, event.news, now)
        is PeersEvent.Tick -> tick(state, event, now)
    }

    private fun received(
        state: PeersState,
        news: PeerNews,
        now: Duration,
    ): Step<PeersState, PeersAction> {
        val known = state.peers[news.sender]
        if (news.sender == state.self || isOld(known?.news, news)) return Step(state)
        val heard = state.copy(
            peers = state.peers.put(news.sender, PeerView(news, now)),
            candidates = state.candidates.addAll(news.members).add(news.sender).remove(state.self),
            lost = state.lost.putAll(news.lost.mapValues { now - it.value.milliseconds }),
        )
        val isNew = known == null
        val actions = listOfNotNull(
            PeersAction.Believe(news.sender, isAlive = true, heard.peers.size).takeIf { isNew },
            PeersAction.Tables(news.sender, news.tables)
                .takeIf {
                    known?.news?.tables != news.tables || news.sequence % TABLES_EVERY == 0L
                },
        )
        return Step(heard, actions.toPersistentList())
    }

    private fun isOld(known: PeerNews?, news: PeerNews): Boolean = known != null &&
        when {
            news.incarnation != known.incarnation -> news.incarnation < known.incarnation
            else -> news.sequence <= known.sequence
        }

    private fun tick(
        state: PeersState,
        event: PeersEvent.Tick,
        now: Duration,
    ): Step<PeersState, PeersAction> {
        val silent = state.peers.filterValues { now - it.heardAt > SILENCE }
        val left = state.copy(
            peers = state.peers.filterKeys { it !in silent }.toPersistentMap(),
        )
        val changed = elsewhere(left, now)
        val told = tell(changed.state, event, now)
        val sought = seek(told.state, event, now)
        return Step(
            sought.state,
            silent.keys.map<String, PeersAction> {
                PeersAction.Believe(it, isAlive = false, left.peers.size)
            }.toPersistentList().addAll(changed.actions).addAll(told.actions)
                .addAll(sought.actions),
        )
    }

    /** Tells peers what is new, or that nothing is, at a rate that falls with their number. */
    private fun tell(
        state: PeersState,
        event: PeersEvent.Tick,
        now: Duration,
    ): Step<PeersState, PeersAction> {
        val isChanged = state.told?.loads != event.loads ||
            state.told.tables != event.tables ||
            state.told.strikes != event.strikes ||
            event.lost.isNotEmpty()
        val change = if (state.peers.size <= FEW_PEERS) PAUSE_PER_PEER else LONGER_PAUSE_PER_PEER
        val pause = change * state.peers.size
        val isEarly = now - state.toldAt < if (isChanged) pause else maxOf(pause, HEARTBEAT)
        if (state.peers.isEmpty() || isEarly) return Step(state)
        return send(state.copy(toldAt = now), state.peers.keys.toList(), event)
    }

    /** Calls on addresses from which nothing was heard. */
    private fun seek(
        state: PeersState,
        event: PeersEvent.Tick,
        now: Duration,
    ): Step<PeersState, PeersAction> {
        val unheard = state.candidates.filterNot { it in state.peers }
        val isDue = now - state.soughtAt >= SEEK_INTERVAL || state.sequence == 0L
        if (unheard.isEmpty() || !isDue) return Step(state)
        return send(state.copy(soughtAt = now), unheard.shuffledBy(state.sequence), event)
    }

    private fun send(
        state: PeersState,
        addresses: List<String>,
        event: PeersEvent.Tick,
    ): Step<PeersState, PeersAction> {
        val news = PeerNews(
            sender = state.self,
            incarnation = state.incarnation,
            sequence = state.sequence + 1,
            members = state.peers.keys.take(MAX_MEMBERS),
            loads = event.loads,
            lost = event.lost,
            tables = event.tables,
            strikes = event.strikes,
        )
        return Step(
            state.copy(sequence = news.sequence, told = news),
            persistentListOf(PeersAction.Tell(addresses, news)),
        )
    }

    /** Tells placement what the peers say, if that is new. */
    private fun elsewhere(state: PeersState, now: Duration): Step<PeersState, PeersAction> {
        if (now - state.elsewhereAt < ELSEWHERE_INTERVAL) return Step(state)
        val news = state.peers.values.map { it.news }
        val told = ToldElsewhere(
            loads = news.flatMap { it.loads.entries }
                .groupingBy { it.key }.fold(0) { sum, entry -> sum + entry.value },
            strikes = news.flatMap { it.strikes.entries }
                .groupingBy { it.key }.fold(emptySet()) { ids, entry -> ids + entry.value },
        )
        val isSame = told == state.elsewhere && state.lost.isEmpty()
        if (isSame && state.peers.keys == state.elsewhereOf) return Step(state)
        val lost = state.lost.mapValues { (now - it.value).inWholeMilliseconds.toInt() }
        return state.copy(
            elsewhere = told,
            elsewhereOf = state.peers.keys,
            elsewhereAt = now,
            lost = persistentMapOf(),
        ).withActions(PeersAction.Elsewhere(told.copy(lost = lost), state.peers.keys))
    }

    private fun List<String>.shuffledBy(number: Long): List<String> {
        val start = Math.floorMod(number, size)
        return (drop(start) + take(start)).take(MAX_SOUGHT)
    }

    private companion object {
        val SILENCE = 1500.milliseconds
        val HEARTBEAT = 400.milliseconds
        val PAUSE_PER_PEER = 7.milliseconds
        const val FEW_PEERS = 8

        /** Many peers hear less often, but at least twice within [SILENCE] up to fifty of them. */
        val LONGER_PAUSE_PER_PEER = 14.milliseconds
        val ELSEWHERE_INTERVAL = 20.milliseconds
        val SEEK_INTERVAL = 1.seconds
        const val MAX_MEMBERS = 16
        const val MAX_SOUGHT = 4

        /** Every so many messages the versions of tables are passed on though they are the same. */
        const val TABLES_EVERY = 8
    }
}
