package org.bilberrycart.fuzz

import io.kotest.property.Arb
import io.kotest.property.RandomSource
import io.kotest.property.arbitrary.arbitrary
import kotlin.random.Random

/** The seed of all fuzz tests; it is fixed so that each run uses the same inputs. */
public const val FUZZ_SEED: Long = 20_261_204L

private const val MAX_SLICE_BYTES = 64
private const val MAX_MUTATIONS = 4

/** One input in this many is random bytes from the start. */
private const val INPUTS_PER_RANDOM = 8

/** By how much a byte is changed at most. */
private const val MAX_SHIFT = 1

/** Bytes with a syntactic meaning in JSON, CBOR or event streams. */
private val SYNTAX_BYTES =
    "{}[]\",:\\\n\r/*-0eE".toByteArray() + byteArrayOf(0, -1, 0x1b, 0x3b, 0x5b, 0x7b, 0x7f, -0x61)

/**
 * Generates inputs by applying one to four random mutations to one of [samples], or to random bytes
 * for one input in eight.
 */
public fun mutations(samples: List<ByteArray>): Arb<ByteArray> =
    arbitrary { randomSource: RandomSource ->
        val random = randomSource.random
        val isRandom = random.nextInt(INPUTS_PER_RANDOM) == 0
        val start = if (isRandom) randomBytes(random) else samples.random(random)
        (0 until random.nextInt(1, MAX_MUTATIONS + 1)).fold(start) { bytes, _ ->
            mutate(bytes, random)
        }
    }

private fun randomBytes(random: Random) = random.nextBytes(random.nextInt(MAX_SLICE_BYTES))

private fun mutate(bytes: ByteArray, random: Random): ByteArray {
    val at = random.nextInt(bytes.size + 1)
    val end = random.nextInt(at, minOf(bytes.size, at + MAX_SLICE_BYTES) + 1)
    val head = bytes.copyOfRange(0, at)
    val slice = bytes.copyOfRange(at, end)
    val tail = bytes.copyOfRange(end, bytes.size)
    return when (Mutation.entries[random.nextInt(Mutation.entries.size)]) {
        Mutation.CUT -> head
        Mutation.REMOVE -> head + tail
        Mutation.REPEAT -> head + slice + slice + tail
        Mutation.REPLACE -> head + randomBytes(random) + tail
        Mutation.INSERT -> head + SYNTAX_BYTES[random.nextInt(SYNTAX_BYTES.size)] + slice + tail
        Mutation.SHIFT -> head + slice.map { shift(it, random) }.toByteArray() + tail
    }
}

private fun shift(byte: Byte, random: Random): Byte =
    (byte + random.nextInt(-MAX_SHIFT, MAX_SHIFT + 1)).toByte()

/** What happens to a slice of an input, or, if it is cut, to all from there on. */
private enum class Mutation { CUT, REMOVE, REPEAT, REPLACE, INSERT, SHIFT }
