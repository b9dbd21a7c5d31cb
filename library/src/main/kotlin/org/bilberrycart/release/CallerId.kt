package org.bilberrycart.release

/** Identifies one open connection of a caller on this node. */
@JvmInline
public value class CallerId(public val value: Long)
