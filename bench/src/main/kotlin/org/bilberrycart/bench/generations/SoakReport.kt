package org.bilberrycart.bench.generations

import kotlinx.serialization.Serializable

/**
 * The sum over all seeds.
 *
 * @property whole answers that reached their caller from the first to the last token.
 * @property refused answers that ended with a numbered refusal.
 */
@Serializable
data class SoakReport(
    val seeds: Long,
    val generations: Long,
    val tokens: Long,
    val faults: Long,
    val takeovers: Long,
    val whole: Long,
    val refused: Long,
    val violations: Long,
    val failedSeeds: List<Long>,
)
