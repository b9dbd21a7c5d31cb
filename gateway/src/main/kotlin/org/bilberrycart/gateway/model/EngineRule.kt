package org.bilberrycart.gateway.model

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf

/**
 * What the model engines of a service can do.
 *
 * @property slots how many generations one engine runs at once.
 * @property memoryTokens how many tokens of context fit into one engine.
 * @property keepsBackups whether an engine can send the memory of a run to another as it grows.
 * @property models the names of the models that its engines hold.
 */
public data class EngineRule(
    val slots: Int,
    val memoryTokens: Int,
    val keepsBackups: Boolean,
    val models: PersistentSet<String> = persistentSetOf(),
)
