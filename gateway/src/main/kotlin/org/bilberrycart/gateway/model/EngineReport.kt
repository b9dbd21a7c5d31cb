package org.bilberrycart.gateway.model

import kotlinx.collections.immutable.PersistentSet

/**
 * The identity that a model engine reports in answer to a query.
 *
 * @property models the names of the models that it serves.
 * @property startedAtMillis when it started, in Unix milliseconds; null if it isn't reported.
 */
public data class EngineReport(val models: PersistentSet<String>, val startedAtMillis: Long?)
