package org.bilberrycart.gateway.model

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * What a node knows of whether its configuration is the one in force.
 *
 * @property isSuperseded whether another node reports a newer configuration.
 * @property confirmedAt when the store last told this node, or another one that knows no newer
 *   configuration, that there is none; null if it never did.
 */
public data class ConfigurationStatus(
    val isSuperseded: Boolean = false,
    val confirmedAt: Duration? = null,
) {
    /**
     * Whether the configuration counts as in force at [now].
     *
     * Without news of the store, another node may have a newer one, unless all nodes are heard
     * ([isFleetHeard]): the store is away then, or out of reach for all.
     */
    public fun isInForce(now: Duration, isFleetHeard: Boolean): Boolean {
        val isRecent = confirmedAt != null && now - confirmedAt <= MAX_AGE
        return !isSuperseded && (isRecent || isFleetHeard)
    }

    private companion object {
        /** Half of the retry window; the store confirms every two to three seconds. */
        val MAX_AGE = 5.seconds
    }
}
