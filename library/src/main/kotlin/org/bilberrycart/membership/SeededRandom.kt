package org.bilberrycart.membership

/** Pseudo-random draws as pure functions of a seed, based on SplitMix64. */
internal object SeededRandom {
    private const val GOLDEN_GAMMA = -0x61c8864680b583ebL
    private const val FIRST_FACTOR = -0x40a7b892e31b1a47L
    private const val SECOND_FACTOR = -0x6b2fb644ecceee15L
    private const val FIRST_SHIFT = 30
    private const val SECOND_SHIFT = 27
    private const val THIRD_SHIFT = 31

    /** Draws an index from zero until [bound], exclusive. */
    fun index(seed: Long, bound: Int): Draw<Int> {
        val next = seed + GOLDEN_GAMMA
        return Draw(Math.floorMod(mix(next), bound.toLong()).toInt(), next)
    }

    /** Draws up to [count] elements of [items] without replacement. */
    fun <T> sample(seed: Long, items: List<T>, count: Int): Draw<List<T>> {
        val order = shuffle(seed, items)
        return Draw(order.value.take(count), order.seed)
    }

    /** Shuffles [items] by sorting them by a hash that depends on the seed. */
    fun <T> shuffle(seed: Long, items: List<T>): Draw<List<T>> {
        val next = seed + GOLDEN_GAMMA
        val order = items.withIndex().sortedBy { mix(next + it.index * GOLDEN_GAMMA) }
        return Draw(order.map { it.value }, mix(next))
    }

    /** Returns a well-distributed 64-bit hash of [value]. */
    fun mix(value: Long): Long {
        val first = (value xor (value ushr FIRST_SHIFT)) * FIRST_FACTOR
        val second = (first xor (first ushr SECOND_SHIFT)) * SECOND_FACTOR
        return second xor (second ushr THIRD_SHIFT)
    }
}
