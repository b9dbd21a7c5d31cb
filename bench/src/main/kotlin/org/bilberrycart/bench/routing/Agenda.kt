package org.bilberrycart.bench.routing

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf

/** What is still to happen, in steps of [STEP]; events of one step keep their order. */
internal data class Agenda(
    private val events: PersistentMap<Long, PersistentList<RunEvent>> = persistentHashMapOf(),
) {
    /** Returns this agenda with [event] at the step after [at], or at that of [at] if exact. */
    fun with(at: Duration, event: RunEvent): Agenda {
        val step = stepOf(at)
        val held = events[step] ?: persistentListOf()
        return Agenda(events.put(step, held.add(event)))
    }

    fun at(step: Long): List<RunEvent> = events[step].orEmpty()

    fun without(step: Long): Agenda = Agenda(events.remove(step))

    internal companion object {
        val STEP = 5.milliseconds

        fun stepOf(at: Duration): Long = (at.inWholeNanoseconds + STEP_NANOS - 1) / STEP_NANOS

        private val STEP_NANOS = STEP.inWholeNanoseconds
    }
}
