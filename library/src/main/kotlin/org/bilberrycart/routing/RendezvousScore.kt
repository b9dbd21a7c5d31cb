package org.bilberrycart.routing

/**
 * Returns the rendezvous hash of [key] and [candidate].
 *
 * The candidate with the highest score is the owner of the key.
 */
internal fun rendezvousScore(key: Int, candidate: UpstreamState): Int =
    mixBits(key * KEY_MULTIPLIER xor candidate.upstream.id.value.hashCode())

/** Mixes the bits of [value] over the whole word, by the finalizer steps of MurmurHash3. */
private fun mixBits(value: Int): Int {
    val firstRound = (value xor (value ushr SHIFT_1)) * MULTIPLIER_1
    val secondRound = (firstRound xor (firstRound ushr SHIFT_2)) * MULTIPLIER_2
    return secondRound xor (secondRound ushr SHIFT_1)
}

private const val KEY_MULTIPLIER = -0x61c88647
private const val MULTIPLIER_1 = -0x7a143595
private const val MULTIPLIER_2 = -0x3d4d51cb
private const val SHIFT_1 = 16
private const val SHIFT_2 = 13
