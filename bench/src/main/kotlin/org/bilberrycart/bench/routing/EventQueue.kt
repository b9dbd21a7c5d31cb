package org.bilberrycart.bench.routing

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf

/**
 * The events of a simulation that are still to happen, by time step.
 *
 * A step is [STEP] long; the events of one step keep the order in which they were added.
 */
internal data class EventQueue(
    private val events: PersistentMap<Long, PersistentList<PolicyRunEvent>> = persistentHashMapOf(),
) {
    /** Returns a copy with [event] added to the first step that is not before [at]. */
    fun withEvent(at: Duration, event: PolicyRunEvent): EventQueue {
        val step = stepOf(at)
        val existing = events[step] ?: persistentListOf()
        return EventQueue(events.put(step, existing.add(event)))
    }

    /** Returns the events of [step], in the order in which they were added. */
    fun eventsAt(step: Long): List<PolicyRunEvent> = events[step].orEmpty()

    /** Returns a copy without the events of [step]. */
    fun withoutStep(step: Long): EventQueue = EventQueue(events.remove(step))

    internal companion object {
        val STEP = 5.milliseconds

        /** Returns the number of the first step that is not before [at]. */
        fun stepOf(at: Duration): Long = (at.inWholeNanoseconds + STEP_NANOS - 1) / STEP_NANOS

        private val STEP_NANOS = STEP.inWholeNanoseconds
    }
}
