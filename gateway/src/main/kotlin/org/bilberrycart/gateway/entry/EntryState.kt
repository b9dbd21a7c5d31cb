package org.bilberrycart.gateway.entry

import org.bilberrycart.gateway.model.ServingConfiguration

/**
 * What the entry filter knows.
 *
 * @property configuration the newest configuration that was read; null before the first one.
 * @property intake what is still taken; less and less while the process is ending.
 * @property seed decides how split routes draw; changes with each draw.
 */
public data class EntryState(
    val configuration: ServingConfiguration? = null,
    val intake: Intake = Intake.All,
    val seed: Long = 1,
)
