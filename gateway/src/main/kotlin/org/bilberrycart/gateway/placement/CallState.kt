package org.bilberrycart.gateway.placement

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.bilberrycart.gateway.model.RepeatRule
import org.bilberrycart.gateway.model.RoutedCall
import org.bilberrycart.gateway.model.UpstreamAnswer
import org.bilberrycart.gateway.model.UpstreamId

/**
 * What placement knows of one call.
 *
 * @property attempts those under way, by number.
 * @property sendings how often the call was sent, whatever came of it.
 * @property arrivals how many of the sendings may have reached an upstream.
 * @property runs how many of the sendings may have run.
 * @property tried the upstreams that it was sent to.
 * @property losses how many upstreams broke off while they had the call.
 * @property isOpen whether the caller has received the head of a stream.
 * @property silentSince when the lost run last sent something, until another sends an event.
 * @property copy where the memory of its lost run lies.
 * @property failure a failed answer to give if no better one comes.
 */
public data class CallState(
    val call: RoutedCall,
    val attempts: PersistentMap<Int, Attempt> = persistentMapOf(),
    val sendings: Int = 0,
    val arrivals: Int = 0,
    val runs: Int = 0,
    val tried: PersistentSet<UpstreamId> = persistentSetOf(),
    val losses: Int = 0,
    val isOpen: Boolean = false,
    val silentSince: Duration? = null,
    val copy: MemoryCopy? = null,
    val failure: UpstreamAnswer? = null,
) {
    /** Whether it waits for an upstream. */
    public val isWaiting: Boolean
        get() = attempts.isEmpty()

    /** Whether it may be sent once more, as far as its route says. */
    public val hasAttemptsLeft: Boolean
        get() = runs < call.route.maxAttempts && sendings < call.route.maxAttempts + EXTRA_SENDINGS

    /**
     * Returns how much work [attempt] is: a prompt that is read holds up all that comes behind it
     * and slows what runs beside it.
     */
    public fun loadOf(attempt: Attempt): Int = when (call.route.repeat) {
        is RepeatRule.Stream -> if (attempt.hasEvents) RUNNING_LOAD else PROMPT_LOAD
        RepeatRule.Idempotent, RepeatRule.Once -> CALL_LOAD
    }

    private companion object {
        const val RUNNING_LOAD = 1
        const val PROMPT_LOAD = 4
        const val CALL_LOAD = 2

        /** Sendings beyond the route's limit for those that certainly did not run. */
        const val EXTRA_SENDINGS = 8
    }
}
