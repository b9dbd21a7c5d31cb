package org.bilberrycart.bench.traffic

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.RequestClass
import org.bilberrycart.standins.engine.TokenSource

/**
 * A request for one generation in a load.
 *
 * @property number its position in the load, from 0.
 * @property prompt the prompt, unique in the load; [WriteLog] finds the request by it.
 * @property deadline the time limit for the whole answer.
 * @property at the send time since the start of the load; it does not depend on earlier answers.
 * @property isSurging whether the arrival rate of its organisation changes during the load.
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
    /** Computes the expected tokens of the answer. */
    val source: TokenSource
        get() = TokenSource(prompt, MODEL)

    companion object {
        /** The model that all arrivals ask for. */
        const val MODEL: String = "m"
    }
}
