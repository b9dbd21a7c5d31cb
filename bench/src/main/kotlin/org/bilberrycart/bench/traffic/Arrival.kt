package org.bilberrycart.bench.traffic

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.RequestClass
import org.bilberrycart.standins.engine.TokenSource

/**
 * One generation that a load asks for.
 *
 * @property number its place in the load, from 0; it makes the prompt unique.
 * @property deadline the time for the whole answer.
 * @property at when it is sent, from the start of the load, whether or not earlier ones are done.
 * @property isSurging whether the rate of its organisation changes during the load.
 */
data class Arrival(
    val number: Int,
    val at: Duration,
    val organisation: OrganisationId,
    val requestClass: RequestClass,
    val prompt: String,
    val maxTokens: Int,
    val deadline: Duration = 10.minutes,
    val isSurging: Boolean = false,
) {
    /** What the right tokens of the answer depend on. */
    val source: TokenSource
        get() = TokenSource(prompt, MODEL)

    companion object {
        /** The model that all arrivals ask for. */
        const val MODEL: String = "m"
    }
}
