package org.bilberrycart.bench.experiment

import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.minutes
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.bilberrycart.pipeline.Ring

/** A thread that samples the work of the engines at the start, once a minute and at the end. */
internal class EngineWorkSampler(private val sample: () -> EngineWork) {
    private val stop = Ring<Unit>("work-stop", capacity = 1)
    private var samples: PersistentList<EngineWork> = persistentListOf()
    private val worker = thread(start = false, name = "work", isDaemon = true) {
        while (!stop.isDone()) {
            samples = samples.add(sample())
            stop.takeAll(wait = 1.minutes)
        }
        samples = samples.add(sample())
    }

    /** Starts the thread, which takes the first sample at once. */
    fun start() = worker.start()

    /** Takes the last sample, ends the thread and returns all samples in order of time. */
    fun stop(): List<EngineWork> {
        stop.close()
        worker.join()
        return samples
    }
}
