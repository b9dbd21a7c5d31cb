package org.bilberrycart.pipeline

/**
 * The counters of one ring.
 *
 * @property accepted items let in since the start.
 * @property taken items taken out since the start.
 * @property refused items turned away because the ring was full or closed.
 * @property held items inside now.
 */
public data class RingStats(
    val name: String,
    val capacity: Int,
    val accepted: Long,
    val taken: Long,
    val refused: Long,
    val held: Int,
) {
    /** Whether every accepted item was taken or is still held. */
    val isBalanced: Boolean
        get() = accepted == taken + held
}
