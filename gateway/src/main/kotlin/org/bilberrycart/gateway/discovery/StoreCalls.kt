package org.bilberrycart.gateway.discovery

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList

/** Numbers the calls to the store and sets how long each may take. */
internal class StoreCalls(private val settings: DiscoverySettings) {
    /** A call that is pending in [feed] once [action] has been executed. */
    data class Started(val feed: TableFeed, val action: DiscoveryAction)

    /** Starts a read of a page of [table] after [delay], from key [from]. */
    fun read(
        table: StoreTable,
        feed: TableFeed,
        now: Duration,
        from: String? = null,
        delay: Duration = Duration.ZERO,
    ): Started {
        val call = PendingCall(
            number = feed.lastCall + 1,
            startsAt = now + delay,
            wait = Duration.ZERO,
            patience = maxOf(feed.patience, settings.readPatience),
            after = null,
        )
        return Started(pending(feed, call), DiscoveryAction.Read(table, call.number, from, delay))
    }

    /** Starts a request, after [delay], for the changes of [table] since [version]. */
    fun follow(
        table: StoreTable,
        feed: TableFeed,
        version: StoreVersion,
        now: Duration,
        peers: Int,
        delay: Duration = Duration.ZERO,
    ): Started {
        val isDoubtful = feed.isFailing || feed.staleSince != null
        val patience = maxOf(feed.patience, settings.followPatience)
        val wait = settings.followWait(table, peers, delay, patience)
        val call = PendingCall(
            number = feed.lastCall + 1,
            startsAt = now + delay,
            wait = if (isDoubtful) SHORT_WAIT else wait,
            patience = patience,
            after = version,
        )
        return Started(
            pending(feed, call),
            DiscoveryAction.Follow(table, call.number, version, call.wait, delay),
        )
    }

    /** Returns [feed] after the answer to [call]; the store may take longer after a slow answer. */
    fun answered(feed: TableFeed, call: PendingCall, now: Duration): TableFeed {
        val lateness = (now - call.startsAt - call.wait).coerceIn(Duration.ZERO, call.patience)
        return feed.copy(
            call = null,
            givenUpCalls = persistentListOf(),
            patience = maxOf(feed.patience / 2, lateness * 2).coerceAtMost(settings.maxPatience),
            answeredAt = now,
        )
    }

    /** Returns [feed] after [call] was given up; the store may take longer the next time. */
    fun givenUp(feed: TableFeed, call: PendingCall): TableFeed {
        val doubled = (call.patience * 2).coerceAtMost(settings.maxGuessedPatience)
        return feed.copy(
            call = null,
            givenUpCalls = (feed.givenUpCalls + call).takeLast(MAX_GIVEN_UP).toPersistentList(),
            patience = maxOf(feed.patience, doubled),
            unansweredCalls = feed.unansweredCalls + 1,
        )
    }

    /** Returns [feed] after the answer to the call [number], which was given up before. */
    fun answeredLate(feed: TableFeed, number: Long, now: Duration): TableFeed {
        val call = feed.givenUpCalls.firstOrNull { it.number == number } ?: return feed
        val lateness = now - call.startsAt - call.wait
        val patience = (lateness * 2).coerceAtMost(settings.maxPatience)
        return feed.copy(patience = maxOf(feed.patience, patience))
    }

    private fun pending(feed: TableFeed, call: PendingCall) =
        feed.copy(call = call, lastCall = call.number)

    private companion object {
        /** How long the store may hold a call that finds out whether it answers rightly again. */
        val SHORT_WAIT = 100.milliseconds

        /** How many calls without an answer are remembered for their late answers. */
        const val MAX_GIVEN_UP = 16
    }
}
