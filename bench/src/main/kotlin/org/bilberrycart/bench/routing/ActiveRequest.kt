package org.bilberrycart.bench.routing

import kotlin.time.Duration
import org.bilberrycart.model.GenerationRequest

/**
 * A request that has arrived and has not ended.
 *
 * @property node the number of the node that it arrived at.
 * @property producedTokens how many tokens its lost attempts produced; the next one goes on after
 * them.
 * @property hasFirstToken whether any of its attempts has produced a token.
 * @property lostAt when its last attempt was lost; null if it had no token by then, and again once
 * the next attempt produces a token.
 */
internal data class ActiveRequest(
    val node: Int,
    val request: GenerationRequest,
    val producedTokens: Int = 0,
    val hasFirstToken: Boolean = false,
    val lostAt: Duration? = null,
) {
    val isKiller: Boolean
        get() = request.fingerprint.value.startsWith(Arrivals.KILLER_PREFIX)
}
