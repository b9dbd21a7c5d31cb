package org.bilberrycart.bench.generations

import org.bilberrycart.model.RequestId

/**
 * The result of one seeded run.
 *
 * @property whole the answers that reached their callers from the first to the last token.
 * @property refused the answers that ended with a numbered refusal.
 * @property trace the events of the traced generation; empty if the run was not traced.
 */
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

/** A violated invariant and the generation in which it was found. */
data class Violation(val name: String, val request: RequestId, val detail: String)
