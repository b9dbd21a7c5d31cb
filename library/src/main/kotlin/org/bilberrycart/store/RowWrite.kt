package org.bilberrycart.store

import kotlin.time.Duration

/**
 * One write under a condition.
 *
 * @property value the new value; null deletes the row.
 * @property expiresAfter how long the platform keeps the row; null keeps it for good.
 */
public data class RowWrite(
    val key: RowKey,
    val condition: Condition,
    val value: String?,
    val expiresAfter: Duration? = null,
)
