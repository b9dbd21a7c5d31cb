package org.bilberrycart.orders

import kotlinx.serialization.Serializable

/**
 * What the holders of the lease have done, kept in the platform's table so that the next holder
 * goes on where one stopped.
 *
 * @property drained the incarnation of each upstream that was told to drain.
 */
@Serializable
public data class OrdersProgress(val drained: Map<String, Long> = emptyMap())

/** The [progress] with the [version] of its row; 0 if there is no row yet. */
public data class StoredProgress(val progress: OrdersProgress, val version: Long)
