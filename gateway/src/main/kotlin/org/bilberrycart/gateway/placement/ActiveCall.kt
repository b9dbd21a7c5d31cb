package org.bilberrycart.gateway.placement

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.bilberrycart.gateway.model.RetryRule
import org.bilberrycart.gateway.model.RoutedCall
import org.bilberrycart.gateway.model.StreamOrigin
import org.bilberrycart.gateway.model.UpstreamAnswer
import org.bilberrycart.gateway.model.UpstreamId

/**
 * The placement state of one call that has not ended.
 *
 * @property attempts the attempts in progress, by number.
 * @property dispatches how many times the call was sent, whatever the outcome.
 * @property possibleArrivals how many of the dispatches may have reached an upstream.
 * @property possibleRuns how many of the dispatches an upstream may have executed.
 * @property triedUpstreams the upstreams that the call was sent to.
 * @property usedAddresses the addresses that the call was sent to, as HOST:PORT.
 * @property lostAttempts how many attempts failed after they may have reached their upstream.
 * @property isStreamOpen whether the caller has received the response head of a stream.
 * @property silentSince when the lost attempt of an open stream last sent something; null again
 *   once another attempt has sent an event.
 * @property kvCacheCopy the backup of the lost attempt's KV cache, if there is one.
 * @property failedAnswer the error answer to deliver if no retry succeeds.
 * @property overBudgetSince since when the call waits for the retry budget; null if it does not.
 * @property rejections how many upstreams stated that they did not run the call.
 * @property rejectedAt when the last of them did; null before.
 * @property origin where the call may be sent, if it is a stream that has begun.
 * @property unsentAttempts how many attempts didn't reach their upstream, for want of a connection.
 * @property forwards how often the call was forwarded to another node.
 * @property isTakenFromSilent whether an attempt was given up since its upstream was silent, which
 *   may have gone on.
 */
public data class ActiveCall(
    val call: RoutedCall,
    val attempts: PersistentMap<Int, Attempt> = persistentMapOf(),
    val dispatches: Int = 0,
    val possibleArrivals: Int = 0,
    val possibleRuns: Int = 0,
    val triedUpstreams: PersistentSet<UpstreamId> = persistentSetOf(),
    val usedAddresses: PersistentSet<String> = persistentSetOf(),
    val lostAttempts: Int = 0,
    val isStreamOpen: Boolean = false,
    val silentSince: Duration? = null,
    val kvCacheCopy: KvCacheCopy? = null,
    val failedAnswer: UpstreamAnswer? = null,
    val overBudgetSince: Duration? = null,
    val rejections: Int = 0,
    val rejectedAt: Duration? = null,
    val origin: StreamOrigin = StreamOrigin.NotBegun,
    val unsentAttempts: Int = 0,
    val forwards: Int = 0,
    val isTakenFromSilent: Boolean = false,
) {
    /** Whether the call has no attempt in progress and waits for an upstream. */
    public val isWaiting: Boolean
        get() = attempts.isEmpty()

    /** Whether its caller resumes a stream that began with an earlier request. */
    public val isTakenUp: Boolean
        get() = when (call.route.retryRule) {
            is RetryRule.Stream -> call.head.lastEvent != null
            RetryRule.Idempotent, RetryRule.AtMostOnce -> false
        }

    /**
     * Whether the attempt limit of the route allows one more dispatch.
     *
     * Rejections never break off an open stream, which is only dispatched less often, see
     * [isBackingOff].
     */
    public val hasAttemptsLeft: Boolean
        get() = possibleRuns < call.route.maxAttempts &&
            (isStreamOpen || dispatches < call.route.maxAttempts + EXTRA_DISPATCHES)

    /**
     * Whether the last rejection is too recent for a dispatch to an upstream tried before. The
     * first one does not count: an upstream may have rejected the KV cache copy only.
     */
    public fun isBackingOff(now: Duration): Boolean {
        val pause = minOf(BACKOFF_PER_REJECTION * (rejections - 1), MAX_BACKOFF)
        return rejectedAt != null && now - rejectedAt < pause
    }

    /**
     * Returns the load that [attempt] puts on its upstream. A stream weighs most before its first
     * event: reading the prompt delays the requests queued behind it and slows the generations
     * that run at the same time.
     */
    public fun loadOf(attempt: Attempt): Int = when (call.route.retryRule) {
        is RetryRule.Stream -> if (attempt.hasEvents) RUNNING_LOAD else PROMPT_LOAD
        RetryRule.Idempotent, RetryRule.AtMostOnce -> CALL_LOAD
    }

    /** Begins calls. */
    internal companion object {
        /** Returns [call] as it is admitted; another node may have sent it before. */
        fun of(call: RoutedCall): ActiveCall {
            val arrivals = call.head.earlierArrivals ?: 0
            return ActiveCall(call, possibleArrivals = arrivals, possibleRuns = arrivals)
        }

        private const val RUNNING_LOAD = 1
        private const val PROMPT_LOAD = 4
        private const val CALL_LOAD = 2

        /** Dispatches allowed beyond the route's limit, to make up for those that did not run. */
        private const val EXTRA_DISPATCHES = 8
        private val BACKOFF_PER_REJECTION = 100.milliseconds
        private val MAX_BACKOFF = 500.milliseconds
    }
}
