package org.bilberrycart.standins.engine

import kotlinx.serialization.Serializable
import org.bilberrycart.standins.http.LoadedModel

/** One token as a server-sent event carries it. */
@Serializable
internal data class TokenBody(val index: Int, val text: String)

/** The end of an answer as a server-sent event carries it. */
@Serializable
internal data class FinishBody(val reason: String, val tokens: Int)

/** One event of `GET /v1/cache`; [blocks] are chained hashes in hexadecimal. */
@Serializable
internal data class CacheEventBody(val seq: Long, val blocks: List<String>)

/** The answer of `GET /v1/cache`; [last] is the sequence number to ask after next. */
@Serializable
internal data class CacheBody(
    val incarnation: Long,
    val last: Long,
    val events: List<CacheEventBody>,
)

/** The body of `POST /v1/orders`. */
@Serializable
internal data class OrderBody(val fencing: Long, val order: EngineOrder)

/** The body of `POST /standin/fault`; [prompt] belongs to `crashOn`. */
@Serializable
internal data class FaultBody(val fault: String, val prompt: String = "") {
    /** Returns the fault that this names; throws [IllegalArgumentException] if there is none. */
    fun toFault(): EngineFault = when (fault) {
        "die" -> EngineFault.Die
        "restart" -> EngineFault.Restart
        "pause" -> EngineFault.Pause
        "resume" -> EngineFault.Resume
        "silence" -> EngineFault.Silence
        "leave" -> EngineFault.Leave
        "crashOn" -> EngineFault.CrashOn(prompt)
        "endEarly" -> EngineFault.EndEarly
        else -> throw IllegalArgumentException("no such fault: '$fault'")
    }
}

/** The answer of `GET /v1/state`. */
@Serializable
data class EngineStateBody(
    val incarnation: Long,
    val alive: Boolean,
    val leaving: Boolean,
    val draining: Boolean,
    val role: String,
    val fencing: Long,
    val models: List<LoadedModel>,
    val slots: Int,
    val running: Int,
    val queued: Int,
    val counters: EngineCounters,
)

/** Returns what `GET /v1/state` says of this state. */
internal fun EngineState.toBody() = EngineStateBody(
    incarnation = incarnation,
    alive = isAlive,
    leaving = isLeaving,
    draining = isLeaving,
    role = role,
    fencing = highestFencing,
    models = models.toList(),
    slots = settings.slots,
    running = batch.size,
    queued = queue.size,
    counters = counters,
)
