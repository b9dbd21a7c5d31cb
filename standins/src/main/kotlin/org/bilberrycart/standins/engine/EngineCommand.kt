package org.bilberrycart.standins.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A command of a controller: an idempotent statement of the state the engine must have. */
@Serializable
sealed class EngineCommand {
    /** Loads a model, adapter and version. */
    @Serializable
    @SerialName("load")
    data class Load(val model: String, val adapter: String = "", val version: String = "1") :
        EngineCommand()

    /** Unloads a model, adapter and version. */
    @Serializable
    @SerialName("unload")
    data class Unload(val model: String, val adapter: String = "", val version: String = "1") :
        EngineCommand()

    /** Assigns [role] to the engine. */
    @Serializable
    @SerialName("role")
    data class Role(val role: String) : EngineCommand()

    /** Refuses new streams if [draining], and accepts them again otherwise. */
    @Serializable
    @SerialName("drain")
    data class Drain(val draining: Boolean = true) : EngineCommand()
}
