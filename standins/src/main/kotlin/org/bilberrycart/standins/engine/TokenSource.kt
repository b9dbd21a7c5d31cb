package org.bilberrycart.standins.engine

/**
 * The inputs that determine the tokens of a generation.
 *
 * Two generations that differ in any of these have different tokens at nearly every index, so that
 * a checker recognises a token that is mixed in, repeated or moved.
 */
data class TokenSource(
    val prompt: String,
    val model: String,
    val adapter: String = "",
    val version: String = "1",
    val seed: Long = 0,
) {
    private val base: Long =
        listOf(prompt, model, adapter, version, seed.toString()).fold(0L, ::chainHash)

    /** Returns the token at [index]. */
    fun token(index: Int): String {
        val hash = mixHash(base + index)
        val suffix = SUFFIXES[(hash ushr SUFFIX_SHIFT).toInt() and (SUFFIXES.size - 1)]
        return " " + (hash and TOKEN_MASK).toString(HEX) + suffix
    }

    /** Returns how many tokens the answer has if at most [maxTokens] are asked for. */
    fun length(maxTokens: Int): Int {
        val share = Math.floorMod(mixHash(base.inv()), LENGTH_STEPS + 1L).toInt()
        val half = maxTokens / 2
        return (half + (maxTokens - half) * share / LENGTH_STEPS).coerceAtLeast(1)
    }

    private companion object {
        const val HEX = 16
        const val TOKEN_MASK = 0xffff_ffffL
        const val SUFFIX_SHIFT = 60
        const val LENGTH_STEPS = 8

        /** Suffixes that a faulty encoder or decoder garbles; 11 of 16 tokens have none. */
        val SUFFIXES = List(11) { "" } + listOf("\n", "\"", "\\", "ễ", "\uD83D\uDEF6")
    }
}

/** Returns the token that an engine gives at [index] of the generation of [source]. */
fun expectedToken(source: TokenSource, index: Int): String = source.token(index)

/** Returns how many tokens the whole answer has if at most [maxTokens] are asked for. */
fun expectedLength(source: TokenSource, maxTokens: Int): Int = source.length(maxTokens)

/** Returns the hash of [text] chained onto [hash], the hash of the preceding texts. */
internal fun chainHash(hash: Long, text: String): Long =
    mixHash(text.fold(hash xor FNV_OFFSET) { h, c -> (h xor c.code.toLong()) * FNV_PRIME })

/** Spreads the bits of [value] (the finaliser of SplitMix64). */
internal fun mixHash(value: Long): Long {
    var z = value + GOLDEN_GAMMA
    z = (z xor (z ushr FIRST_SHIFT)) * MIX_FIRST
    z = (z xor (z ushr SECOND_SHIFT)) * MIX_SECOND
    return z xor (z ushr LAST_SHIFT)
}

private const val FNV_OFFSET = -0x340d631b7bdddcdbL
private const val FNV_PRIME = 0x100000001b3L
private const val GOLDEN_GAMMA = -0x61c8864680b583ebL
private const val MIX_FIRST = -0x40a7b892e31b1a47L
private const val MIX_SECOND = -0x6b2fb644ecceee15L
private const val FIRST_SHIFT = 30
private const val SECOND_SHIFT = 27
private const val LAST_SHIFT = 31
