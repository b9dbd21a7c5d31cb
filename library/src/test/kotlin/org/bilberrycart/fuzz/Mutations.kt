package org.bilberrycart.fuzz

import io.kotest.property.Arb
import io.kotest.property.RandomSource
import io.kotest.property.arbitrary.arbitrary
import kotlin.random.Random

/** The seed of all fuzzing, so that each run sees the same inputs. */
const val FUZZ_SEED = 20_261_204L

private const val LARGEST_JUNK = 64
private const val CHANGES = 4

/** Bytes that JSON, CBOR and event streams give a meaning to. */
private val MARKERS =
    "{}[]\",:\\\n\r/*-0eE".toByteArray() + byteArrayOf(0, -1, 0x1b, 0x3b, 0x5b, 0x7b, 0x7f, -0x61)

/** Inputs made of [samples] by a few random changes, and now and then plain junk. */
fun mutations(samples: List<ByteArray>): Arb<ByteArray> = arbitrary { source: RandomSource ->
    val random = source.random
    val start = if (random.nextInt(8) == 0) junk(random) else samples.random(random)
    (0 until random.nextInt(1, CHANGES + 1)).fold(start) { bytes, _ -> mutate(bytes, random) }
}

private fun junk(random: Random) = random.nextBytes(random.nextInt(LARGEST_JUNK))

private fun mutate(bytes: ByteArray, random: Random): ByteArray {
    val at = random.nextInt(bytes.size + 1)
    val end = random.nextInt(at, minOf(bytes.size, at + LARGEST_JUNK) + 1)
    val head = bytes.copyOfRange(0, at)
    val slice = bytes.copyOfRange(at, end)
    val tail = bytes.copyOfRange(end, bytes.size)
    return when (random.nextInt(6)) {
        0 -> head
        1 -> head + tail
        2 -> head + slice + slice + tail
        3 -> head + junk(random) + tail
        4 -> head + MARKERS[random.nextInt(MARKERS.size)] + slice + tail
        else -> head + slice.map { (it + random.nextInt(3) - 1).toByte() }.toByteArray() + tail
    }
}
