package org.bilberrycart.gateway.discovery

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf

/**
 * The progress of following one table of the store.
 *
 * @property rows the rows as of [version], by key; later ones that the store has lost are kept.
 * @property version the version as of which the store was read; null before it was read as a whole.
 * @property edition how new the rows are; null before they were all read.
 * @property partialRead what has been read so far while pages are missing; null if none are.
 * @property call the call to the store that has not been answered; null before the first.
 * @property lastCall the number of the last call.
 * @property givenUpCalls the calls since the last answer that were given up, the latest last.
 * @property patience how long the store may take to answer, unless the settings allow more.
 * @property failures the number of calls that have failed since the last answer.
 * @property unansweredCalls how many of these calls were given up.
 * @property staleSince since when all answers were older than what is known; null if the last one
 *   was not.
 * @property disproved editions of peers up to this one are ignored, since the store has answered
 *   with older ones; null if it never did.
 * @property answeredAt when the store last answered; null if it never did.
 * @property recoveredAt when the store last answered after a failure, or from an older copy of
 *   itself; null if it never did.
 * @property peerLead a peer that knows of a change that this node has not seen; null if none does.
 * @property peerAskedAt when a peer was last asked for its copy; null if none was.
 * @property retainedRows rows that disappeared soon after the store recovered, by key.
 * @property removed rows that were removed lately.
 */
public data class TableFeed(
    val rows: PersistentMap<String, StoreRow> = persistentMapOf(),
    val version: StoreVersion? = null,
    val edition: TableEdition? = null,
    val partialRead: PartialRead? = null,
    val call: PendingCall? = null,
    val lastCall: Long = 0,
    val givenUpCalls: PersistentList<PendingCall> = persistentListOf(),
    val patience: Duration = Duration.ZERO,
    val failures: Int = 0,
    val unansweredCalls: Int = 0,
    val staleSince: Duration? = null,
    val disproved: TableEdition? = null,
    val answeredAt: Duration? = null,
    val recoveredAt: Duration? = null,
    val peerLead: PeerLead? = null,
    val peerAskedAt: Duration? = null,
    val retainedRows: PersistentMap<String, RetainedRow> = persistentMapOf(),
    val removed: RemovedRows = RemovedRows(),
) {
    /** Whether the last call failed. */
    val isFailing: Boolean
        get() = failures > 0

    /** The version of the store at the last known change of a row. */
    internal val changedAt: StoreVersion
        get() = edition?.changedAt ?: StoreVersion.BEFORE_ALL

    /** The newest edition up to which this node lacks no change, as far as it knows. */
    public val newestEdition: TableEdition
        get() {
            val known = version?.let { TableEdition(edition?.configuration ?: 0, it) }
            return listOfNotNull(known, disproved).maxOrNull() ?: TableEdition.BEFORE_ALL
        }

    /** Whether some rows are published, or not published, for a limited time only. */
    public val hasTimedRows: Boolean
        get() = retainedRows.isNotEmpty() || removed.withheldUntil.isNotEmpty()

    /** When the store last told that there is nothing newer than [version]; null if it doesn't. */
    public val confirmedAt: Duration?
        get() = answeredAt.takeIf { version != null && staleSince == null }

    /** Returns whether a peer with [peerEdition] knows of changes that this node lacks. */
    public fun isBehind(peerEdition: TableEdition): Boolean = peerEdition > newestEdition

    /** Returns whether [DiscoveryEvent.Tick] has something to do for this table at [now]. */
    public fun isDue(now: Duration): Boolean =
        call?.let { it.dueAt <= now } == true || peerLead?.let { it.askAt <= now } == true
}
