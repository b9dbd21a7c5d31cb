package org.bilberrycart.standins.pipeline

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/** The number of running and queued requests from [at] until the next sample. */
data class LoadSample(val at: Duration, val running: Int, val queued: Int)

/** The recent samples of the load, oldest first. */
data class LoadHistory(
    val samples: PersistentList<LoadSample> =
        persistentListOf(LoadSample(Duration.ZERO, running = 0, queued = 0)),
) {
    /** Returns this history with [sample] and without samples too old to be read at [lag]. */
    fun add(sample: LoadSample, lag: Duration): LoadHistory {
        val last = samples.last()
        if (last.running == sample.running && last.queued == sample.queued) return this
        return LoadHistory(samples.prune(sample.at - lag).add(sample))
    }

    /** Returns the sample that was valid at [time], or the oldest one if [time] is before it. */
    fun at(time: Duration): LoadSample = samples.lastOrNull { it.at <= time } ?: samples.first()

    private tailrec fun PersistentList<LoadSample>.prune(
        before: Duration,
    ): PersistentList<LoadSample> =
        if (size < 2 || this[1].at > before) this else removeAt(0).prune(before)
}
