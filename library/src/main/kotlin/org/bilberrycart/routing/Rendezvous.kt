package org.bilberrycart.routing

/** Returns the rendezvous hash of [key] and [candidate]; the highest one holds the key. */
internal fun score(key: Int, candidate: UpstreamState): Int =
    spread(key * KEY_FACTOR xor candidate.upstream.id.value.hashCode())

/** Spreads the bits of [value] over the whole word, by the last steps of MurmurHash3. */
private fun spread(value: Int): Int {
    val first = (value xor (value ushr SHIFT_1)) * FACTOR_1
    val second = (first xor (first ushr SHIFT_2)) * FACTOR_2
    return second xor (second ushr SHIFT_1)
}

private const val KEY_FACTOR = -0x61c88647
private const val FACTOR_1 = -0x7a143595
private const val FACTOR_2 = -0x3d4d51cb
private const val SHIFT_1 = 16
private const val SHIFT_2 = 13
