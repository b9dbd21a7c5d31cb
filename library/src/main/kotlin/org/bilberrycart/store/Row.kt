package org.bilberrycart.store

/**
 * A row of the platform's table.
 *
 * @property version rises with every write of the row, also over its deletion.
 */
public data class Row(val key: RowKey, val value: String, val version: Long)
