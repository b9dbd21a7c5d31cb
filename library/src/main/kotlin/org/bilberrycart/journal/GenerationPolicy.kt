package org.bilberrycart.journal

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * How a service detects silent engines and resumes its generations.
 *
 * @property resume how a generation continues after its engine was lost.
 * @property acceptLimit the time to wait for an engine to accept an attempt before probing it.
 * @property silenceFloor the lower bound of the silence between two tokens that leads to a probe.
 * @property silenceCap the upper bound of the silence between two tokens that leads to a probe.
 * @property firstTokenLimit the time to wait for the first token of an accepted attempt before
 *   probing its engine.
 * @property maxLosses the number of lost attempts after which the generation fails.
 */
public data class GenerationPolicy(
    val resume: ResumePolicy = ResumePolicy.SingleEngine,
    val acceptLimit: Duration = 500.milliseconds,
    val silenceFloor: Duration = 250.milliseconds,
    val silenceCap: Duration = 2.seconds,
    val firstTokenLimit: Duration = 5.seconds,
    val maxLosses: Int = 16,
)
