package org.bilberrycart.bench.generations

import kotlinx.serialization.Serializable

/**
 * The totals of the runs of all seeds.
 *
 * @property tokens the number of distinct tokens that were released.
 * @property whole the answers that reached their callers from the first to the last token.
 * @property refused the answers that ended with a numbered refusal.
 * @property failedSeeds the seeds whose run found a violation.
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
