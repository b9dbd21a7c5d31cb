package org.bilberrycart.store

/** The condition on a row under which a write is applied. */
public sealed class Condition {
    /** The row does not exist. */
    public data object Absent : Condition()

    /** The row exists and has [version]. */
    public data class VersionIs(val version: Long) : Condition()

    /** The write is applied whether or not the row exists. */
    public data object Unconditional : Condition()
}
