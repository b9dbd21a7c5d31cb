package org.bilberrycart.pipeline

/**
 * A broken promise found inside the program.
 *
 * It stops the request (or the shard of the duty) concerned and is counted, but never stops the
 * node.
 *
 * @property invariant the short name under which violations are counted.
 */
public class InvariantViolation(public val invariant: String, message: String) :
    IllegalStateException("$invariant: $message")

/** Throws [InvariantViolation] with the lazy [message] unless [holds]. */
public inline fun invariant(name: String, holds: Boolean, message: () -> String) {
    if (!holds) throw InvariantViolation(name, message())
}
