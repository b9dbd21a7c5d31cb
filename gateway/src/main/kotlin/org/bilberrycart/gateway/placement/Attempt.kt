package org.bilberrycart.gateway.placement

import kotlin.time.Duration
import org.bilberrycart.gateway.model.UpstreamId

/**
 * One dispatch of a call to an upstream that is still in progress.
 *
 * @property lastSeenAt when the upstream last sent something for this attempt; initially [sentAt].
 * @property headAt when the head of its answer was received; null before.
 * @property hasEvents whether an event of its stream has been received.
 * @property isRetry whether it was counted as a retry in the retry budget.
 * @property softwareVersion the version of the upstream's software; null if unknown.
 * @property possibleRuns how many upstreams may run the call for this attempt.
 * @property isForwarded whether it was sent to another node, which sends it to an upstream.
 * @property backup the upstream that receives a copy of its KV cache, if any.
 */
public data class Attempt(
    val number: Int,
    val upstream: UpstreamId,
    val sentAt: Duration,
    val lastSeenAt: Duration = sentAt,
    val headAt: Duration? = null,
    val hasEvents: Boolean = false,
    val isRetry: Boolean = false,
    val softwareVersion: String? = null,
    val possibleRuns: Int = 1,
    val isForwarded: Boolean = false,
    val backup: UpstreamId? = null,
)
