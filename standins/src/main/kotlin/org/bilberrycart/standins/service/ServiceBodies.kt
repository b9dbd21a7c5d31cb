package org.bilberrycart.standins.service

import kotlin.time.Duration.Companion.milliseconds
import kotlinx.serialization.Serializable

/** The body of `POST /standin/fault`; [count] is for resets and [millis] for `slow`. */
@Serializable
internal data class ServiceFaultBody(val fault: String, val count: Int = 1, val millis: Long = 0) {
    /** Returns the named fault; throws [IllegalArgumentException] if there is no such fault. */
    fun toFault(): ServiceFault = when (fault) {
        "die" -> ServiceFault.Die
        "restart" -> ServiceFault.Restart
        "pause" -> ServiceFault.Pause
        "resume" -> ServiceFault.Resume
        "silence" -> ServiceFault.Silence
        "leave" -> ServiceFault.Leave
        "slow" -> ServiceFault.Slow(millis.milliseconds)
        "dieBefore" -> ServiceFault.ResetCalls(ResetPoint.BEFORE, count)
        "dieDuring" -> ServiceFault.ResetCalls(ResetPoint.DURING, count)
        "dieAfter" -> ServiceFault.ResetCalls(ResetPoint.AFTER, count)
        else -> throw IllegalArgumentException("no such fault: '$fault'")
    }
}

/** How often calls with the execution key [key] took effect. */
@Serializable
data class ExecutionBody(val key: String, val operation: String, val count: Int)

/** The answer of `GET /standin/executions`. */
@Serializable
data class ExecutionsBody(
    val incarnation: Long,
    val total: Int,
    val executions: List<ExecutionBody>,
)

/** Returns the total of all executions and the single counts that are at least [minimum]. */
internal fun ServiceState.toExecutionsBody(minimum: Int = 1) = ExecutionsBody(
    incarnation = incarnation,
    total = executions.values.sumOf { it.count },
    executions = executions.values.filter { it.count >= minimum }
        .map { ExecutionBody(it.key, it.operation, it.count) },
)
