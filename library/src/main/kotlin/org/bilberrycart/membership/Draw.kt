package org.bilberrycart.membership

/** A pseudo-random value and the seed for the next draw. */
internal data class Draw<T>(val value: T, val seed: Long)
