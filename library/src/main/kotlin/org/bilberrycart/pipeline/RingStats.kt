package org.bilberrycart.pipeline

/**
 * The counters of one ring.
 *
 * @property name the name of the ring.
 * @property capacity the maximum number of items held.
 * @property accepted the number of items added since the ring was created.
 * @property taken the number of items taken since the ring was created.
 * @property refused the number of items refused because the ring was full or closed.
 * @property held the number of items held at the time of the snapshot.
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
