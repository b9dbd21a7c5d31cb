package org.bilberrycart.bench.generations

import org.bilberrycart.model.RequestId

/** The outcome of one seeded run. */
data class SoakResult(
    val seed: Long,
    val generations: Int,
    val tokens: Long,
    val faults: Int,
    val takeovers: Long,
    val whole: Int,
    val refused: Int,
    val violation: Violation? = null,
    val trace: List<String> = emptyList(),
)

/** A broken promise, and the generation concerned. */
data class Violation(val name: String, val request: RequestId, val detail: String)
