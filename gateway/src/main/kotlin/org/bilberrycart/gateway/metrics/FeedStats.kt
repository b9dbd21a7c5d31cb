package org.bilberrycart.gateway.metrics

import kotlin.time.Duration
import org.bilberrycart.gateway.discovery.StoreVersion

/**
 * How current a node's copy of a table of the store is.
 *
 * @property version the version of the store as of which the copy is; null before the first read.
 * @property answerAge the time since the store last answered; null if it never did.
 * @property callAge the time for which a call has been pending; null if none is.
 */
public data class FeedStats(
    val table: String,
    val version: StoreVersion?,
    val answerAge: Duration?,
    val callAge: Duration?,
)
