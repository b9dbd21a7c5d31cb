package org.bilberrycart.gateway.peers

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap

/**
 * The last reports of starts of peers that were removed or restarted.
 *
 * A start that is heard again reports itself what it used and saw before, so that its last report
 * is dropped.
 *
 * @property retries their use of the retry budgets.
 * @property crashes the crashes that they saw.
 */
public data class DepartedPeers(
    val retries: PersistentMap<PeerStart, DepartedRetries> = persistentMapOf(),
    val crashes: PersistentMap<PeerStart, DepartedCrashes> = persistentMapOf(),
) {
    /** Returns these reports and the last ones of [peers], which are missed at [now]. */
    internal fun with(peers: Collection<PeerView>, now: Duration): DepartedPeers = DepartedPeers(
        retries = retries.putAll(
            peers.filter { it.message.retries.isNotEmpty() }.associate {
                it.start to
                    DepartedRetries(it.message.retries, it.lastSeenAt, until = now + RETRY_WINDOW)
            },
        ),
        crashes = crashes.putAll(
            peers.filter { it.message.crashes.isNotEmpty() }.associate {
                it.start to DepartedCrashes(it.message.crashes, until = now + CRASH_TIME)
            },
        ),
    )

    /** Returns these reports without those of [start]. */
    internal fun without(start: PeerStart): DepartedPeers =
        DepartedPeers(retries.remove(start), crashes.remove(start))

    /** Returns the reports that still count at [now]. */
    internal fun at(now: Duration): DepartedPeers = DepartedPeers(
        retries.filterValues { it.until > now }.toPersistentMap(),
        crashes.entries.filter { it.value.until > now }
            .sortedBy { it.value.until }.takeLast(MAX_CRASH_REPORTS)
            .associate { it.toPair() }.toPersistentMap(),
    )

    internal companion object {
        /** The longest period over which a retry budget counts dispatches. */
        val RETRY_WINDOW = 10.seconds

        /** As long as nodes remember crashes. */
        private val CRASH_TIME = 10.minutes
        private const val MAX_CRASH_REPORTS = 16
    }
}
