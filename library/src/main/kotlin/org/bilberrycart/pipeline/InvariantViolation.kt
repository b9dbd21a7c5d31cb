package org.bilberrycart.pipeline

/**
 * Thrown when an invariant of the program does not hold.
 *
 * It ends the handling of the event concerned and is counted, but never stops the node.
 *
 * @property invariant the name of the invariant, under which violations are counted.
 */
public class InvariantViolation(public val invariant: String, message: String) :
    IllegalStateException("$invariant: $message")

/** Throws an [InvariantViolation] of [name] with [message] unless [holds]. */
public inline fun invariant(name: String, holds: Boolean, message: () -> String) {
    if (!holds) throw InvariantViolation(name, message())
}
