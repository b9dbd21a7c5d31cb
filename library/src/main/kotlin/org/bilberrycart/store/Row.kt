package org.bilberrycart.store

/**
 * A row of one of the platform's tables.
 *
 * @property version increases with every write of the row, and goes on increasing after a deletion.
 */
public data class Row(val key: RowKey, val value: String, val version: Long)
