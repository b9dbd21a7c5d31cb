package org.bilberrycart.gateway.discovery

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList

/** The actions that discovery requests. */
public sealed class DiscoveryAction {
    /**
     * Reads, in the call with number [call] and after [delay], a page of [table] from key [from]
     * or, if that is null, the start.
     */
    public data class Read(
        val table: StoreTable,
        val call: Long,
        val from: String?,
        val delay: Duration,
    ) : DiscoveryAction()

    /**
     * Waits, in the call with number [call] and after [delay], up to [wait] for changes of [table]
     * that are newer than [version].
     */
    public data class Follow(
        val table: StoreTable,
        val call: Long,
        val version: StoreVersion,
        val wait: Duration,
        val delay: Duration,
    ) : DiscoveryAction()

    /** Reports that the call with number [call] about [table] got no answer within [age]. */
    public data class GiveUp(val table: StoreTable, val call: Long, val age: Duration) :
        DiscoveryAction()

    /** Reports that the store keeps answering with versions of [table] below [version]. */
    public data class VersionDisproved(val table: StoreTable, val version: StoreVersion?) :
        DiscoveryAction()

    /**
     * Reports that the store has come back from an older copy of itself and is at [version], where
     * this node knows [table] as of [known].
     */
    public data class EraChanged(
        val table: StoreTable,
        val known: StoreVersion,
        val version: StoreVersion,
    ) : DiscoveryAction()

    /** Asks the peer at [address] for its copy of [table]. */
    public data class AskPeer(val table: StoreTable, val address: String) : DiscoveryAction()

    /** Reports that [table] now consists of [rows], as of [version] of the store. */
    public data class Publish(
        val table: StoreTable,
        val rows: PersistentList<StoreRow>,
        val version: StoreVersion?,
    ) : DiscoveryAction()

    /** Reports that calls about [table] began to fail or, with [isAvailable], succeed again. */
    public data class StoreStatusChanged(
        val table: StoreTable,
        val isAvailable: Boolean,
        val cause: String,
    ) : DiscoveryAction()
}
