package org.bilberrycart.membership

/** A value drawn from a seed, and the seed for the next one. */
internal data class Draw<T>(val value: T, val seed: Long)
