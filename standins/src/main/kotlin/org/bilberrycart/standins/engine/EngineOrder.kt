package org.bilberrycart.standins.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** An order of a controller: an idempotent statement of what the engine is to be. */
@Serializable
sealed class EngineOrder {
    /** Load a model, adapter and version. */
    @Serializable
    @SerialName("load")
    data class Load(val model: String, val adapter: String = "", val version: String = "1") :
        EngineOrder()

    /** Unload a model, adapter and version. */
    @Serializable
    @SerialName("unload")
    data class Unload(val model: String, val adapter: String = "", val version: String = "1") :
        EngineOrder()

    /** Take on a role. */
    @Serializable
    @SerialName("role")
    data class Role(val role: String) : EngineOrder()

    /** Take no new streams, or take them again. */
    @Serializable
    @SerialName("drain")
    data class Drain(val draining: Boolean = true) : EngineOrder()
}
