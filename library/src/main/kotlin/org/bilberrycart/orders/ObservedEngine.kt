package org.bilberrycart.orders

import kotlinx.collections.immutable.PersistentSet
import org.bilberrycart.model.ModelRef

/**
 * What an upstream says of itself.
 *
 * @property incarnation rises by one at each start.
 * @property fencing the highest fencing number that it has seen.
 * @property running requests that hold a slot or wait for one.
 */
public data class ObservedEngine(
    val incarnation: Long,
    val isDraining: Boolean,
    val role: String,
    val models: PersistentSet<ModelRef>,
    val running: Int,
    val fencing: Long = 0,
)
