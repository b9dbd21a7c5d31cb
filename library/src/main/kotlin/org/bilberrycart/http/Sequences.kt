package org.bilberrycart.http

/** Returns the items up to and including the first one for which [isLast] returns true. */
internal fun <T> Sequence<T>.takeThrough(isLast: (T) -> Boolean): List<T> = buildList {
    for (item in this@takeThrough) {
        add(item)
        if (isLast(item)) break
    }
}
