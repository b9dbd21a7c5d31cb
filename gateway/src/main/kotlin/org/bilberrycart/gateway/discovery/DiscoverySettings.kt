package org.bilberrycart.gateway.discovery

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Timeouts of discovery.
 *
 * @property maxFollowDelay the longest delay by which changes of upstreams are batched; well below
 *   the time for which a leaving upstream continues to serve.
 * @property applyTime within what time of its acknowledgement a change has to be acted on.
 * @property contactTime within what time a node notices that its store connection is dead.
 */
public data class DiscoverySettings(
    val maxFollowDelay: Duration = 750.milliseconds,
    val applyTime: Duration = 2.seconds,
    val contactTime: Duration = 3.seconds,
) {
    /** How long the store may take to answer beyond the time that a request lets it wait. */
    val followPatience: Duration
        get() = applyTime * PATIENCE_SHARE

    /** How long the store may take to answer a read of a page. */
    val readPatience: Duration
        get() = applyTime / 2

    /** The longest patience with a store that has answered late. */
    val maxPatience: Duration
        get() = contactTime * 2

    /** The longest patience with a store that has not answered at all, so that its return shows. */
    val maxGuessedPatience: Duration
        get() = contactTime / 3

    /** For how long all answers may be older than what is known, before that is given up. */
    val maxStaleTime: Duration
        get() = contactTime * 2

    /**
     * Returns how long the store may hold a request for changes of [table], which is made after
     * [delay] and given up after [patience] beyond that.
     *
     * Together with these and the next call it stays below [applyTime], since a change may be made
     * on the store while the connection is silent. A store that has answered late is therefore
     * asked more often. Of many [peers] one soon hears of a configuration, and tells the others.
     */
    public fun followWait(
        table: StoreTable,
        peers: Int,
        delay: Duration,
        patience: Duration,
    ): Duration = when {
        table == StoreTable.CONFIGURATION && peers > FEW_PEERS -> applyTime
        else -> maxOf(applyTime * NOTICE_SHARE - delay - patience, applyTime * MIN_WAIT_SHARE)
    }

    private companion object {
        const val PATIENCE_SHARE = 0.2

        /** The share of [applyTime] after which a silent connection is noticed. */
        const val NOTICE_SHARE = 0.9
        const val MIN_WAIT_SHARE = 0.25
        const val FEW_PEERS = 8
    }
}
