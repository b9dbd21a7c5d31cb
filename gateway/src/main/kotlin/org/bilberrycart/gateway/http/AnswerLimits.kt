package org.bilberrycart.gateway.http

private const val MEBIBYTE = 1024 * 1024

/**
 * Bounds the memory that upstreams can take which send bodies without end.
 *
 * @property answerBytes the maximum size of the body of one answer that is not a stream.
 * @property totalBytes the maximum size of all such bodies that are being received; beyond it the
 *   longest one is cancelled.
 */
internal data class AnswerLimits(
    val answerBytes: Int = 8 * MEBIBYTE,
    val totalBytes: Long = 24L * MEBIBYTE,
)
