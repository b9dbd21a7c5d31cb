package org.bilberrycart.gateway.model

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf

/**
 * The capacity and the features of each model engine of a service.
 *
 * @property slots how many generations one engine runs at the same time.
 * @property kvCacheTokens how many tokens of context fit into the KV cache of one engine.
 * @property supportsBackups whether an engine can stream a generation's KV cache to another engine.
 * @property models the names of the models that the engines serve.
 */
public data class EngineCapabilities(
    val slots: Int,
    val kvCacheTokens: Int,
    val supportsBackups: Boolean,
    val models: PersistentSet<String> = persistentSetOf(),
)
