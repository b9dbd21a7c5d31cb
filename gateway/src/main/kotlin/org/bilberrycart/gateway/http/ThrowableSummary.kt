package org.bilberrycart.gateway.http

private const val MAX_MESSAGE_CHARS = 80

/**
 * Returns the class and the message of a failure, or `unknown` for null.
 *
 * A message that contains `@` is left out, since it is a dump of objects' internal state.
 */
internal fun Throwable?.summary(): String = when (this) {
    null -> "unknown"
    else -> listOfNotNull(
        javaClass.simpleName,
        message?.takeUnless { '@' in it }?.take(MAX_MESSAGE_CHARS),
    ).joinToString(": ")
}
