package org.bilberrycart.standins.engine

import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.serialization.Serializable
import org.bilberrycart.standins.http.LoadedModel

/**
 * The settings of an emulated model engine.
 *
 * @property port the port to listen on; 0 for any free one.
 * @property controlPort the port for `/standin` requests, also while dead; 0 for any free one.
 * @property slots how many streams the batch holds.
 * @property queueLimit how many streams may wait for a slot.
 * @property stepMicros the time in µs of one decode step, which gives each stream a token.
 * @property stepMicrosPerStream the µs that each further stream in the batch adds to a step.
 * @property prefillMicros the time in µs to compute a prompt or prefix token that is not cached.
 * @property cacheBlocks how many blocks of 16 tokens the prefix cache holds.
 * @property loadLagMillis the age in ms of the state that `/v1/load` reports.
 * @property cacheLagMillis the delay in ms before cache events are published.
 * @property cacheGapPercent the percentage of cache events that are never published.
 * @property unreadMillis how many ms a stream continues without a reader.
 * @property keepMillis how many ms an ended stream can still be read.
 * @property checksFencing whether a command below the highest fencing number is refused.
 * @property seed selects the cache events that are never published.
 * @property threads the largest number of HTTP threads; each open stream holds one.
 */
@Serializable
data class EngineSettings(
    val host: String = "127.0.0.1",
    val port: Int = 0,
    val controlPort: Int = 0,
    val models: List<LoadedModel> = listOf(LoadedModel("m")),
    val slots: Int = 8,
    val queueLimit: Int = 64,
    val stepMicros: Long = 20_000,
    val stepMicrosPerStream: Long = 500,
    val prefillMicros: Long = 200,
    val cacheBlocks: Int = 4_096,
    val loadLagMillis: Long = 200,
    val cacheLagMillis: Long = 500,
    val cacheGapPercent: Int = 5,
    val unreadMillis: Long = 10_000,
    val keepMillis: Long = 30_000,
    val checksFencing: Boolean = false,
    val seed: Long = 0,
    val threads: Int = 1_200,
) {
    init {
        require(slots > 0) { "slots must be positive, got $slots" }
        require(queueLimit >= 0) { "queueLimit must not be negative, got $queueLimit" }
        require(stepMicros > 0) { "stepMicros must be positive, got $stepMicros" }
    }

    /** Returns the time of one decode step with [running] streams in the batch. */
    fun stepTime(running: Int): Duration =
        (stepMicros + stepMicrosPerStream * (running - 1).coerceAtLeast(0)).microseconds

    /** Returns the time to compute [tokens] tokens that are not cached. */
    fun prefillTime(tokens: Int): Duration = (prefillMicros * tokens).microseconds

    internal val loadLag: Duration
        get() = loadLagMillis.milliseconds
    internal val cacheLag: Duration
        get() = cacheLagMillis.milliseconds
    internal val unreadTimeout: Duration
        get() = unreadMillis.milliseconds
    internal val endedStreamRetention: Duration
        get() = keepMillis.milliseconds
}
