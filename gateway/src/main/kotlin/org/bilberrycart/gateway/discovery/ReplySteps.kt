package org.bilberrycart.gateway.discovery

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.persistentMapOf
import org.bilberrycart.pipeline.Step

/** Handles the answers of the store to reads and to requests for changes. */
internal class ReplySteps(
    private val settings: DiscoverySettings,
    private val feedSteps: FeedSteps,
    private val merge: TableMerge,
) {
    /** Handles [page], an answer to a read of [table]. */
    fun page(
        state: DiscoveryState,
        table: StoreTable,
        feed: TableFeed,
        page: TableReply.Page,
        now: Duration,
    ): Step<DiscoveryState, DiscoveryAction> {
        val before = feed.partialRead ?: PartialRead(persistentMapOf(), page.version)
        val read = before.copy(rows = before.rows.putAll(page.rows.associateBy { it.key }))
        val nextKey = page.next
        val known = feed.version ?: StoreVersion.BEFORE_ALL
        return when {
            // The pages before it are of a copy of the store that is gone.
            page.version.era != read.version.era ->
                feedSteps.read(state, table, feed.copy(partialRead = null), now)
            nextKey != null -> feedSteps.read(
                state,
                table,
                feed.copy(partialRead = read),
                now,
                nextKey,
            )
            // A peer's copy, which arrived meanwhile, has changes that these rows lack.
            read.version < known -> {
                val wasInParts = feed.partialRead != null
                stale(state, table, feed.copy(partialRead = null), now, readAgain = wasInParts)
            }
            else -> wholeTable(state, table, feed, read, now)
        }
    }

    private fun wholeTable(
        state: DiscoveryState,
        table: StoreTable,
        feed: TableFeed,
        read: PartialRead,
        now: Duration,
    ): Step<DiscoveryState, DiscoveryAction> {
        val isFirstPage = feed.partialRead == null
        val delay =
            if (isFirstPage) feedSteps.followDelay(table, state.peers) else Duration.ZERO
        val answered = feed.copy(partialRead = null, staleSince = null)
        val whole = merge.wholeTable(table, answered, read.rows, read.version, now)
        val step = feedSteps.publishAndFollow(state, table, feed, whole, now, delay)
        val known = feed.version?.takeIf { it.era != read.version.era } ?: return step
        val note = DiscoveryAction.EraChanged(table, known, read.version)
        return step.copy(actions = step.actions.add(note))
    }

    /** Handles [changes], the answer to [call]. */
    fun changed(
        state: DiscoveryState,
        table: StoreTable,
        feed: TableFeed,
        call: PendingCall,
        changes: TableReply.Changes,
        now: Duration,
    ): Step<DiscoveryState, DiscoveryAction> {
        val after = call.after ?: StoreVersion.BEFORE_ALL
        val known = feed.version ?: StoreVersion.BEFORE_ALL
        val next = feed.copy(staleSince = null)
        return when {
            // The changes are of another copy of the store than what is known.
            changes.version.era > known.era -> feedSteps.read(state, table, next, now)
            changes.version < after -> stale(state, table, feed, now, readAgain = false)
            // A peer's copy is newer, or of the new era that answers now.
            changes.version < known || after.era < known.era ->
                feedSteps.follow(state, table, next, known, now)
            changes.rows.isEmpty() -> {
                val current = next.copy(version = changes.version)
                feedSteps.follow(state, table, current, changes.version, now)
            }
            else -> {
                val merged = merge.changes(table, next, changes.rows, changes.version)
                val delay = feedSteps.followDelay(table, state.peers)
                feedSteps.publishAndFollow(state, table, feed, merged, now, delay)
            }
        }
    }

    /**
     * Handles an answer that is older than what is known.
     *
     * If the store goes on answering so, what is known is wrong, and the table is read as it is
     * now. For a while, the store may only be behind.
     */
    private fun stale(
        state: DiscoveryState,
        table: StoreTable,
        feed: TableFeed,
        now: Duration,
        readAgain: Boolean,
    ): Step<DiscoveryState, DiscoveryAction> {
        val version = feed.version
        val since = feed.staleSince ?: now
        val next = feed.copy(staleSince = since)
        return when {
            version == null || now - since >= settings.maxStaleTime ->
                disproved(state, table, feed, now)
            readAgain -> feedSteps.read(state, table, next, now, delay = RETRY_DELAY)
            else -> feedSteps.follow(state, table, next, version, now, RETRY_DELAY)
        }
    }

    /** Reads [table] anew, without regard to the version that was known. */
    private fun disproved(
        state: DiscoveryState,
        table: StoreTable,
        feed: TableFeed,
        now: Duration,
    ): Step<DiscoveryState, DiscoveryAction> {
        val doubtful = feed.copy(
            version = null,
            edition = null,
            staleSince = null,
            disproved = feed.newestEdition,
            peerLead = null,
        )
        val step = feedSteps.read(state, table, doubtful, now)
        val note = DiscoveryAction.VersionDisproved(table, feed.version)
        return step.copy(actions = step.actions.add(note))
    }

    private companion object {
        /** How long after an answer that is too old the store is asked again. */
        val RETRY_DELAY = 100.milliseconds
    }
}
