package org.bilberrycart.orders

import kotlinx.collections.immutable.PersistentSet
import org.bilberrycart.model.ModelRef

/**
 * The state of an upstream as it reports it.
 *
 * @property incarnation increases by one at each start of the upstream.
 * @property fencing the highest fencing number that the upstream has seen.
 * @property running the number of requests that hold a slot or wait for one.
 */
public data class ObservedEngine(
    val incarnation: Long,
    val isDraining: Boolean,
    val role: String,
    val models: PersistentSet<ModelRef>,
    val running: Int,
    val fencing: Long = 0,
)
