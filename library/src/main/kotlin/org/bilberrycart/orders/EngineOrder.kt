package org.bilberrycart.orders

import org.bilberrycart.model.ModelRef

/** An idempotent statement of what an upstream is to be. */
public sealed class EngineOrder {
    /** Has [model] loaded. */
    public data class Load(val model: ModelRef) : EngineOrder()

    /** Takes no new work while [isDraining]. */
    public data class Drain(val isDraining: Boolean) : EngineOrder()

    /** Serves in [role], such as for one class of requests only. */
    public data class Role(val role: String) : EngineOrder()
}
