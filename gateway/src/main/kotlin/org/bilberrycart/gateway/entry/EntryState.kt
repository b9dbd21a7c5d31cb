package org.bilberrycart.gateway.entry

import org.bilberrycart.gateway.model.ServingConfiguration

/**
 * The state of the entry filter.
 *
 * @property configuration the newest configuration received; null before the first one.
 * @property intake the requests that are accepted; restricted step by step during shutdown.
 * @property seed seed of the weighted choice between the services of a route; replaced after each
 *   choice.
 */
public data class EntryState(
    val configuration: ServingConfiguration? = null,
    val intake: RequestIntake = RequestIntake.All,
    val seed: Long = 1,
)
