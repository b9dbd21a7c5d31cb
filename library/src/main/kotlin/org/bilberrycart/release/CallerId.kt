package org.bilberrycart.release

/** One open connection of a caller on this node. */
@JvmInline
public value class CallerId(public val value: Long)
