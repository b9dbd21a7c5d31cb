package org.bilberrycart.gateway.model

import kotlinx.collections.immutable.PersistentSet

/**
 * What a model engine says of itself when asked.
 *
 * @property models the names of the models that it holds.
 * @property bornMillis when it started, in Unix milliseconds; null if it doesn't say.
 */
public data class EngineReport(val models: PersistentSet<String>, val bornMillis: Long?)
