package org.bilberrycart.takeover

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The timing and bounds of takeovers.
 *
 * @property candidates how many of the best ranked members are asked.
 * @property retry time between two rounds of questions.
 * @property claimRetry how long a claim may stay unanswered before it is sent again.
 * @property claimAttempts claims of one holder before others are asked anew.
 * @property settle how long a generation that nobody has is looked for.
 * @property giveUp how long a generation is looked for at most.
 */
public data class TakeoverSettings(
    val candidates: Int = 8,
    val retry: Duration = 200.milliseconds,
    val claimRetry: Duration = 700.milliseconds,
    val claimAttempts: Int = 3,
    val settle: Duration = 1.seconds,
    val giveUp: Duration = 4.seconds,
)
