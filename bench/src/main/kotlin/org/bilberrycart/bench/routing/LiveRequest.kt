package org.bilberrycart.bench.routing

import kotlin.time.Duration
import org.bilberrycart.model.GenerationRequest

/** A request that was admitted and is not over. */
internal data class LiveRequest(
    val node: Int,
    val request: GenerationRequest,
    val done: Int = 0,
    val hasFirstToken: Boolean = false,
    val lostAt: Duration? = null,
) {
    val isKiller: Boolean
        get() = request.fingerprint.value.startsWith(Arrivals.KILLER)
}
