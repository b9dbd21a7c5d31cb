package org.bilberrycart.gateway.entry

import org.bilberrycart.gateway.model.ServingConfiguration

/**
 * What the entry filter knows.
 *
 * @property configuration the newest configuration that was read; null before the first one.
 * @property isStopping whether the process is about to end, so that streams go elsewhere.
 * @property seed decides how split routes draw; changes with each draw.
 */
public data class EntryState(
    val configuration: ServingConfiguration? = null,
    val isStopping: Boolean = false,
    val seed: Long = 1,
)
