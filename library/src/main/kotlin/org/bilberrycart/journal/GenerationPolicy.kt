package org.bilberrycart.journal

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * How a service watches and resumes its generations.
 *
 * @property resume what happens when an engine dies.
 * @property acceptLimit the wait for an engine's acceptance that leads to a probe.
 * @property silenceFloor the shortest silence that leads to a probe.
 * @property silenceCap the longest silence between two tokens before a probe.
 * @property firstTokenLimit the silence before the first token of an attempt that leads to a probe.
 * @property maxLosses the number of lost attempts after which the generation fails.
 */
public data class GenerationPolicy(
    val resume: ResumePolicy = ResumePolicy.Elsewhere,
    val acceptLimit: Duration = 500.milliseconds,
    val silenceFloor: Duration = 250.milliseconds,
    val silenceCap: Duration = 2.seconds,
    val firstTokenLimit: Duration = 5.seconds,
    val maxLosses: Int = 16,
)
