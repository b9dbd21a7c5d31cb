package org.bilberrycart.takeover

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Time limits and bounds for the search for a generation.
 *
 * @property candidates the number of highest-ranked members that are queried besides this node.
 * @property retryInterval the time between two rounds of queries.
 * @property claimRetryInterval how long to wait for the reply to a claim before sending it again.
 * @property maxClaimAttempts how often a claim is sent to one holder before the candidates are
 *   queried again.
 * @property minSearchTime how long to search for a generation that no candidate has.
 * @property searchTimeout how long to search for a generation at most.
 */
public data class TakeoverSettings(
    val candidates: Int = 8,
    val retryInterval: Duration = 200.milliseconds,
    val claimRetryInterval: Duration = 700.milliseconds,
    val maxClaimAttempts: Int = 3,
    val minSearchTime: Duration = 1.seconds,
    val searchTimeout: Duration = 4.seconds,
)
