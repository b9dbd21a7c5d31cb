package org.bilberrycart.standins.engine

/** Identifies an HTTP response that waits for replies of the engine's duty. */
@JvmInline
value class ReaderId(val value: Long)
