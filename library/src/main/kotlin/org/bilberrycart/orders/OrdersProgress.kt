package org.bilberrycart.orders

import kotlinx.serialization.Serializable

/**
 * The progress of maintenance, which the holder of the lease keeps in the store so that the next
 * holder continues where it stopped.
 *
 * @property drained the incarnation of each upstream that was ordered to drain, by its id.
 */
@Serializable
public data class OrdersProgress(val drained: Map<String, Long> = emptyMap())

/** The [progress] with the [version] of its row, which is 0 if there is no row yet. */
public data class StoredProgress(val progress: OrdersProgress, val version: Long)
