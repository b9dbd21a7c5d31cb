package org.bilberrycart.standins.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.bilberrycart.standins.http.LoadedModel

/** The data of the server-sent event for one token. */
@Serializable
internal data class TokenBody(val index: Int, val text: String)

/** The data of the server-sent event at the end of an answer. */
@Serializable
internal data class FinishBody(val reason: String, val tokens: Int)

/** One event of `GET /v1/cache`; [blocks] are chained hashes in hexadecimal. */
@Serializable
internal data class CacheEventBody(val seq: Long, val blocks: List<String>)

/** The answer of `GET /v1/cache`; [last] is the value of `after` for the next request. */
@Serializable
internal data class CacheBody(
    val incarnation: Long,
    val last: Long,
    val events: List<CacheEventBody>,
)

/** The body of `POST /v1/orders`. */
@Serializable
internal data class EngineCommandBody(
    val fencing: Long,
    @SerialName("order") val command: EngineCommand,
)

/** The body of `POST /standin/fault`; [prompt] belongs to `crashOn`. */
@Serializable
internal data class EngineFaultBody(val fault: String, val prompt: String = "") {
    /** Returns the named fault; throws [IllegalArgumentException] if there is no such fault. */
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

/** Returns this state in the form of `GET /v1/state`. */
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
