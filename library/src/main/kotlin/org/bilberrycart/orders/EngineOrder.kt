package org.bilberrycart.orders

import org.bilberrycart.model.ModelRef

/** An idempotent order to an upstream, which names the state that it must have. */
public sealed class EngineOrder {
    /** The upstream must load [model]. */
    public data class Load(val model: ModelRef) : EngineOrder()

    /** The upstream must take no new work if [isDraining], or take new work again if not. */
    public data class Drain(val isDraining: Boolean) : EngineOrder()

    /** The upstream must serve in [role], such as only for one class of requests. */
    public data class Role(val role: String) : EngineOrder()
}
