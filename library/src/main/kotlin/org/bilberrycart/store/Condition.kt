package org.bilberrycart.store

/** What must hold of a row for a write to be applied. */
public sealed class Condition {
    /** The row does not exist. */
    public data object Absent : Condition()

    /** The row exists in [version]. */
    public data class VersionIs(val version: Long) : Condition()

    /** No condition. */
    public data object Unconditional : Condition()
}
