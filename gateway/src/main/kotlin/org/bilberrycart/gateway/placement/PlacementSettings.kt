package org.bilberrycart.gateway.placement

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Timeouts and limits of placement.
 *
 * @property retryWindow the period over which the retry budget counts dispatches.
 * @property retryRatio how many retries each first dispatch allows, over all nodes together.
 * @property retrySlack retries allowed beyond the ratio in a window, over all nodes together.
 * @property streamSilence how long a stream may be silent before its upstream is probed.
 * @property startSilence the same limit before the first event of a stream.
 * @property streamStall how long a stream may stall at an upstream that answers probes.
 * @property startStall the same limit before the first event, as a multiple of the objective.
 * @property probeTimeout how long an upstream may take to answer a probe.
 * @property probeInterval the minimum time between two probes of one upstream.
 * @property hedgeShare the fraction of the objective after which a second attempt is sent.
 * @property initialDownTime how long an upstream gets no calls after its first loss; doubles with
 *   each further one.
 * @property maxDownTime the upper limit of this time.
 * @property waitShare the fraction of the objective that a call may wait for a usable upstream.
 * @property budgetWait how long a stream may wait for the retry budget, which is refilled within
 *   seconds; it fails after that, so that its caller can come back. An open stream that was taken
 *   from a silent upstream waits until its deadline.
 */
public data class PlacementSettings(
    val retryWindow: Duration = 10.seconds,
    val retryRatio: Double = 0.8,
    val retrySlack: Double = 150.0,
    val streamSilence: Duration = 220.milliseconds,
    val startSilence: Duration = 800.milliseconds,
    val streamStall: Duration = 1500.milliseconds,
    val startStall: Double = 2.0,
    val probeTimeout: Duration = 150.milliseconds,
    val probeInterval: Duration = 300.milliseconds,
    val hedgeShare: Double = 0.5,
    val initialDownTime: Duration = 200.milliseconds,
    val maxDownTime: Duration = 800.milliseconds,
    val waitShare: Double = 0.9,
    val budgetWait: Duration = 2.seconds,
)
