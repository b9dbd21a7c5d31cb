package org.bilberrycart.standins.service

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.bilberrycart.standins.pipeline.LoadHistory
import org.bilberrycart.standins.pipeline.LoadSample

/** A call that takes effect at [due]; if [resetPoint] is set, its connection is reset there. */
data class RunningCall(val call: ServiceCall, val due: Duration, val resetPoint: ResetPoint? = null)

/** How often calls with the execution key [key] took effect. */
data class ExecutionCount(val key: String, val operation: String, val count: Int)

/**
 * The state of an emulated plain service.
 *
 * @property running the calls that hold a slot, in order of arrival.
 * @property queue the calls that wait for a slot, in order of arrival.
 * @property bookings the key that booked each slot; it survives restarts, as do [executions].
 * @property answers the first answer to each key, kept if the settings drop repeats.
 * @property extraCallTime the time added to each call.
 * @property nextResets the reset points of the next calls, one for each call.
 */
data class ServiceState(
    val settings: StandInServiceSettings,
    val incarnation: Long = 1,
    val isAlive: Boolean = true,
    val isPaused: Boolean = false,
    val isLeaving: Boolean = false,
    val running: PersistentList<RunningCall> = persistentListOf(),
    val queue: PersistentList<ServiceCall> = persistentListOf(),
    val bookings: PersistentMap<String, String> = persistentMapOf(),
    val executions: PersistentMap<String, ExecutionCount> = persistentMapOf(),
    val answers: PersistentMap<String, ServiceReply.Executed> = persistentMapOf(),
    val extraCallTime: Duration = Duration.ZERO,
    val nextResets: PersistentList<ResetPoint> = persistentListOf(),
    val load: LoadHistory = LoadHistory(),
) {
    /** Returns this state with its load at [now] recorded. */
    internal fun withLoadSample(now: Duration): ServiceState = copy(
        load = load.add(LoadSample(now, running.size, queue.size), settings.loadLag),
    )
}
