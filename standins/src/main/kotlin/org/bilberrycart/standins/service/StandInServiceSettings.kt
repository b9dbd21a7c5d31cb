package org.bilberrycart.standins.service

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.serialization.Serializable

/**
 * The settings of an emulated plain service.
 *
 * @property port the port to listen on; 0 for any free port.
 * @property controlPort the port for `/standin` requests, which stays open while the service
 *   emulates a crash; 0 for any free port.
 * @property slots how many calls run at once.
 * @property queueLimit how many calls may wait for a slot.
 * @property callMillis how long a call runs before it takes effect.
 * @property dropsRepeats whether a call with a known idempotency key gets the stored answer
 *   instead of being run again.
 * @property loadLagMillis how old the state is that `/v1/load` reports.
 * @property threads the largest number of HTTP threads; each call holds one.
 */
@Serializable
data class StandInServiceSettings(
    val host: String = "127.0.0.1",
    val port: Int = 0,
    val controlPort: Int = 0,
    val slots: Int = 16,
    val queueLimit: Int = 64,
    val callMillis: Long = 20,
    val dropsRepeats: Boolean = false,
    val loadLagMillis: Long = 200,
    val threads: Int = 200,
) {
    init {
        require(slots > 0) { "slots must be positive, got $slots" }
        require(queueLimit >= 0) { "queueLimit must not be negative, got $queueLimit" }
        require(callMillis >= 0) { "callMillis must not be negative, got $callMillis" }
    }

    internal val callTime: Duration
        get() = callMillis.milliseconds
    internal val loadLag: Duration
        get() = loadLagMillis.milliseconds
}
