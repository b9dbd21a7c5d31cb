package org.bilberrycart.pipeline

import kotlin.time.Duration

/**
 * The counters of one ring.
 *
 * @property name the name of the ring.
 * @property capacity the maximum number of items held.
 * @property accepted the number of items added since the ring was created.
 * @property taken the number of items taken since the ring was created.
 * @property refused the number of items refused because the ring was full or closed.
 * @property held the number of items held at the time of the snapshot.
 * @property waits how often a producer has waited for room since the ring was created.
 * @property longestWait the longest of these waits, including those that still go on.
 */
public data class RingStats(
    val name: String,
    val capacity: Int,
    val accepted: Long,
    val taken: Long,
    val refused: Long,
    val held: Int,
    val waits: Long = 0,
    val longestWait: Duration = Duration.ZERO,
) {
    /** Whether every accepted item was taken or is still held. */
    val isBalanced: Boolean
        get() = accepted == taken + held
}
