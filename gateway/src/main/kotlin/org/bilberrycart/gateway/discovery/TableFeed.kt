package org.bilberrycart.gateway.discovery

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf

/**
 * The progress of following one table of the store.
 *
 * @property rows the rows as of [version], by key.
 * @property version the version as of which [rows] are known; null before they were all read.
 * @property changedVersion the version of the last known change of a row.
 * @property era how often the store had come back from an older copy of itself, by its last answer;
 *   null before the first.
 * @property partialRead what has been read so far while pages are missing; null if none are.
 * @property call the call to the store that has not been answered; null before the first.
 * @property lastCall the number of the last call.
 * @property givenUpCalls the calls since the last answer that were given up, the latest last.
 * @property patience how long the store may take to answer, unless the settings allow more.
 * @property failures the number of calls that have failed since the last answer.
 * @property unansweredCalls how many of these calls were given up.
 * @property staleSince since when all answers were older than what is known; null if the last one
 *   was not.
 * @property disprovedVersion versions of peers up to this one are ignored, since the store has
 *   answered with older ones; null if it never did.
 * @property answeredAt when the store last answered; null if it never did.
 * @property recoveredAt when the store last answered after a failure; null if it never did.
 * @property peerLead a peer that knows of a change that this node has not seen; null if none does.
 * @property peerAskedAt when a peer was last asked for its copy; null if none was.
 * @property retainedRows rows that disappeared soon after the store recovered, by key.
 */
public data class TableFeed(
    val rows: PersistentMap<String, StoreRow> = persistentMapOf(),
    val version: Long? = null,
    val changedVersion: Long? = null,
    val era: Long? = null,
    val partialRead: PartialRead? = null,
    val call: PendingCall? = null,
    val lastCall: Long = 0,
    val givenUpCalls: PersistentList<PendingCall> = persistentListOf(),
    val patience: Duration = Duration.ZERO,
    val failures: Int = 0,
    val unansweredCalls: Int = 0,
    val staleSince: Duration? = null,
    val disprovedVersion: Long? = null,
    val answeredAt: Duration? = null,
    val recoveredAt: Duration? = null,
    val peerLead: PeerLead? = null,
    val peerAskedAt: Duration? = null,
    val retainedRows: PersistentMap<String, RetainedRow> = persistentMapOf(),
) {
    /** Whether the last call failed. */
    val isFailing: Boolean
        get() = failures > 0

    /** The newest version up to which this node lacks no change, as far as it knows. */
    public val newestVersion: Long
        get() = maxOf(version ?: -1, disprovedVersion ?: -1)

    /** When the store last told that there is nothing newer than [version]; null if it doesn't. */
    public val confirmedAt: Duration?
        get() = answeredAt.takeIf { version != null && staleSince == null }

    /** Returns whether a peer that knows [peerVersion] knows of changes that this node lacks. */
    public fun isBehind(peerVersion: Long): Boolean = peerVersion > newestVersion

    /** Returns whether [DiscoveryEvent.Tick] has something to do for this table at [now]. */
    public fun isDue(now: Duration): Boolean =
        call?.let { it.dueAt <= now } == true || peerLead?.let { it.askAt <= now } == true

    /** Returns this feed after all rows of its table were read, which are [rows] at [version]. */
    internal fun withWholeTable(rows: PersistentMap<String, StoreRow>, version: Long): TableFeed {
        val hasRowGone = this.rows.keys.any { it !in rows }
        val lastChange = if (hasRowGone) version else lastChange(rows.values, version)
        return copy(rows = rows, version = version, changedVersion = lastChange)
    }

    /** Returns this feed, now with [rows], after the rows in [changes] changed up to [version]. */
    internal fun withChanges(
        rows: PersistentMap<String, StoreRow>,
        changes: Collection<StoreRow>,
        version: Long,
    ): TableFeed =
        copy(rows = rows, version = version, changedVersion = lastChange(changes, version))

    /** Returns the version of the last change, which [rows] may show, as of [version]. */
    private fun lastChange(rows: Collection<StoreRow>, version: Long): Long {
        val shown = minOf(rows.maxOfOrNull { it.version } ?: 0, version)
        return maxOf(shown, changedVersion ?: 0)
    }
}
