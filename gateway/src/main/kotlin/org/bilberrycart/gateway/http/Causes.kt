package org.bilberrycart.gateway.http

private const val LONGEST_MESSAGE = 80

/** Returns the kind of failure and its message, without the dump that some messages carry. */
internal fun Throwable?.brief(): String = when (this) {
    null -> "unknown"
    else -> listOfNotNull(
        javaClass.simpleName,
        message?.takeUnless { '@' in it }?.take(LONGEST_MESSAGE),
    ).joinToString(": ")
}
