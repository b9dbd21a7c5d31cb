package org.bilberrycart.admission

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.bilberrycart.model.RequestClass

/**
 * The capacity and the load of one service.
 *
 * @property slots the number of slots of the upstreams that accept new work; 0 before the first
 * capacity report.
 * @property usedByOthers the load that other nodes put on these upstreams, in slots.
 * @property inFlight the number of requests of this node that wait or run, by class.
 * @property meanDuration a moving average of how long requests run, by class; it lacks classes of
 * which no request has ended yet.
 */
public data class ServiceLoad(
    val slots: Int = 0,
    val usedByOthers: Int = 0,
    val inFlight: PersistentMap<RequestClass, Int> = persistentMapOf(),
    val meanDuration: PersistentMap<RequestClass, Duration> = persistentMapOf(),
) {
    /** Whether a capacity report with at least one slot has arrived. */
    val isCapacityKnown: Boolean
        get() = slots > 0

    /** The number of requests that wait or run, those of other nodes included. */
    val load: Int
        get() = usedByOthers + inFlight.values.sum()

    /** Returns how long a request of [requestClass] is expected to run. */
    public fun durationOf(requestClass: RequestClass): Duration =
        meanDuration[requestClass] ?: INITIAL_DURATIONS.getValue(requestClass)

    /**
     * Predicts how long a new request of [requestClass] waits for a slot.
     *
     * Requests that exceed the slots are assumed to wait in a queue, with long drafts at its end,
     * and to leave it at the rate at which running requests end. Long drafts leave the share
     * [shortReserve] of the slots free.
     */
    public fun predictedWait(
        requestClass: RequestClass,
        nodeCount: Int,
        shortReserve: Double,
    ): Duration {
        val usableSlots = nodeShare(slots.toDouble(), nodeCount, usedByOthers.toDouble())
        val drafts = count(RequestClass.LONG_DRAFT)
        val rest = inFlight.values.sum() - drafts
        val runningDrafts = minOf(drafts.toDouble(), usableSlots * (1 - shortReserve))
        val roomForDrafts = minOf(usableSlots * (1 - shortReserve), usableSlots - rest)
        val excess = when (requestClass) {
            RequestClass.LONG_DRAFT -> drafts + 1 - roomForDrafts
            else -> rest + 1 - (usableSlots - runningDrafts)
        }
        return if (excess <= 0) {
            Duration.ZERO
        } else {
            (excess / completionsPerSecond(runningDrafts, usableSlots)).seconds
        }
    }

    /** Returns this load after one more request of [requestClass] was admitted. */
    internal fun withAdmitted(requestClass: RequestClass): ServiceLoad =
        copy(inFlight = inFlight.put(requestClass, count(requestClass) + 1))

    /** Returns this load after one request of [requestClass] ended that ran for [duration]. */
    internal fun withEnded(requestClass: RequestClass, duration: Duration): ServiceLoad {
        val mean = durationOf(requestClass)
        return copy(
            inFlight = inFlight.put(requestClass, count(requestClass) - 1),
            meanDuration = meanDuration.put(
                requestClass,
                mean + (duration - mean) * NEW_SAMPLE_WEIGHT,
            ),
        )
    }

    private fun count(requestClass: RequestClass): Int = inFlight[requestClass] ?: 0

    private fun completionsPerSecond(runningDrafts: Double, usableSlots: Double): Double {
        val rest = inFlight - RequestClass.LONG_DRAFT
        val requestsPerSlot = rest.values.sum() / maxOf(1.0, usableSlots - runningDrafts)
        val completions = rest.entries.sumOf { (key, count) -> count / seconds(key) }
        return runningDrafts / seconds(RequestClass.LONG_DRAFT) +
            completions / maxOf(1.0, requestsPerSlot)
    }

    private fun seconds(requestClass: RequestClass): Double =
        durationOf(requestClass).toDouble(DurationUnit.SECONDS)

    private companion object {
        /** The weight of a new sample in [meanDuration]. */
        const val NEW_SAMPLE_WEIGHT = 0.05

        /** The expected durations before any request of a class has ended. */
        val INITIAL_DURATIONS = mapOf(
            RequestClass.SHORT_QUESTION to 2.seconds,
            RequestClass.ACTION to 200.milliseconds,
            RequestClass.CHECK to 100.milliseconds,
            RequestClass.LONG_DRAFT to 60.seconds,
        )
    }
}
