package org.bilberrycart.admission

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.bilberrycart.model.RequestClass

/**
 * The load of one service.
 *
 * @property slots the slots of the upstreams that take new work; 0 before the first report.
 * @property others how many of them other nodes use.
 * @property inFlight requests of this node that wait or run, for each class.
 * @property meanDuration how long requests run, for each class that was observed.
 */
public data class ServiceLoad(
    val slots: Int = 0,
    val others: Int = 0,
    val inFlight: PersistentMap<RequestClass, Int> = persistentMapOf(),
    val meanDuration: PersistentMap<RequestClass, Duration> = persistentMapOf(),
) {
    /** Whether a capacity report has come in. */
    val isKnown: Boolean
        get() = slots > 0

    /** The requests on all slots, those of other nodes included. */
    val load: Int
        get() = others + inFlight.values.sum()

    /** Returns how long requests of [requestClass] run. */
    public fun durationOf(requestClass: RequestClass): Duration =
        meanDuration[requestClass] ?: FIRST_GUESS.getValue(requestClass)

    /**
     * Predicts how long a new request of [requestClass] waits for a slot.
     *
     * Work beyond the slots is in a queue, in which long drafts stand last; it moves at the rate at
     * which the running work ends. Long drafts leave the share [shortReserve] of the slots free.
     */
    public fun predictedWait(
        requestClass: RequestClass,
        nodes: Int,
        shortReserve: Double,
    ): Duration {
        val usable = nodeShare(slots.toDouble(), nodes, others.toDouble())
        val drafts = count(RequestClass.LONG_DRAFT)
        val rest = inFlight.values.sum() - drafts
        val runningDrafts = minOf(drafts.toDouble(), usable * (1 - shortReserve))
        val roomForDrafts = minOf(usable * (1 - shortReserve), usable - rest)
        val excess = when (requestClass) {
            RequestClass.LONG_DRAFT -> drafts + 1 - roomForDrafts
            else -> rest + 1 - (usable - runningDrafts)
        }
        return if (excess <=
            0
        ) {
            Duration.ZERO
        } else {
            (excess / endsPerSecond(runningDrafts, usable)).seconds
        }
    }

    /** Returns this load after one more request of [requestClass] came. */
    internal fun admitted(requestClass: RequestClass): ServiceLoad =
        copy(inFlight = inFlight.put(requestClass, count(requestClass) + 1))

    /** Returns this load after one request of [requestClass] was over after [duration]. */
    internal fun ended(requestClass: RequestClass, duration: Duration): ServiceLoad {
        val mean = durationOf(requestClass)
        return copy(
            inFlight = inFlight.put(requestClass, count(requestClass) - 1),
            meanDuration = meanDuration.put(requestClass, mean + (duration - mean) * NEW_WEIGHT),
        )
    }

    private fun count(requestClass: RequestClass): Int = inFlight[requestClass] ?: 0

    private fun endsPerSecond(runningDrafts: Double, usable: Double): Double {
        val rest = inFlight - RequestClass.LONG_DRAFT
        val waitingPart = rest.values.sum() / maxOf(1.0, usable - runningDrafts)
        val ends = rest.entries.sumOf { (key, count) -> count / seconds(key) }
        return runningDrafts / seconds(RequestClass.LONG_DRAFT) + ends / maxOf(1.0, waitingPart)
    }

    private fun seconds(requestClass: RequestClass): Double =
        durationOf(requestClass).toDouble(DurationUnit.SECONDS)

    private companion object {
        const val NEW_WEIGHT = 0.05
        val FIRST_GUESS = mapOf(
            RequestClass.SHORT_QUESTION to 2.seconds,
            RequestClass.ACTION to 200.milliseconds,
            RequestClass.CHECK to 100.milliseconds,
            RequestClass.LONG_DRAFT to 60.seconds,
        )
    }
}
