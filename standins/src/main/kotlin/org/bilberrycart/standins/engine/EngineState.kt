package org.bilberrycart.standins.engine

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentSet
import org.bilberrycart.standins.http.LoadedModel
import org.bilberrycart.standins.pipeline.LoadHistory
import org.bilberrycart.standins.pipeline.LoadSample

/**
 * The state of an emulated engine.
 *
 * @property streams all streams by attempt, ended ones included until they are removed.
 * @property queue the attempts that wait for a slot, in order of arrival.
 * @property batch the attempts that hold a slot.
 * @property readers the attempt that each reader follows.
 * @property stepAt when the current decode step ends; null while the batch is empty.
 * @property sweepAt when ended and unread streams are checked next; null without streams.
 * @property highestFencing the highest fencing number seen.
 * @property crashOn the text that kills the engine if a prompt contains it; empty for none.
 * @property arrivals how many streams were accepted.
 */
data class EngineState(
    val settings: EngineSettings,
    val incarnation: Long = 1,
    val isAlive: Boolean = true,
    val isPaused: Boolean = false,
    val isLeaving: Boolean = false,
    val crashOn: String = "",
    val role: String = "",
    val models: PersistentSet<LoadedModel> = settings.models.toPersistentSet(),
    val highestFencing: Long = 0,
    val streams: PersistentMap<String, StreamState> = persistentMapOf(),
    val queue: PersistentSet<String> = persistentSetOf(),
    val batch: PersistentSet<String> = persistentSetOf(),
    val readers: PersistentMap<ReaderId, String> = persistentMapOf(),
    val stepAt: Duration? = null,
    val sweepAt: Duration? = null,
    val arrivals: Long = 0,
    val cache: PrefixCache = PrefixCache(settings.cacheBlocks),
    val cacheLog: CacheLog = CacheLog(),
    val load: LoadHistory = LoadHistory(),
    val counters: EngineCounters = EngineCounters(),
) {
    /** Returns this state with its load at [now] recorded. */
    internal fun withLoadSample(now: Duration): EngineState = copy(
        load = load.add(LoadSample(now, batch.size, queue.size), settings.loadLag),
    )

    /** Returns this state with [stream] added or replaced. */
    internal fun withStream(stream: StreamState): EngineState =
        copy(streams = streams.put(stream.request.attempt, stream))

    /** Returns this state with the counters changed by [change]. */
    internal inline fun updateCounters(change: EngineCounters.() -> EngineCounters): EngineState =
        copy(counters = counters.change())
}
