package org.bilberrycart.gateway.http

private const val MAX_ANSWER_BYTES = 8 * 1024 * 1024
private const val MAX_TOTAL_BYTES = 24L * 1024 * 1024

/**
 * Bounds the memory that upstreams can take which send bodies without end.
 *
 * @property answerBytes the maximum size of the body of one answer that is not a stream.
 * @property totalBytes the maximum size of all such bodies that are being received; beyond it the
 *   longest one is cancelled.
 */
internal data class AnswerLimits(
    val answerBytes: Int = MAX_ANSWER_BYTES,
    val totalBytes: Long = MAX_TOTAL_BYTES,
)
