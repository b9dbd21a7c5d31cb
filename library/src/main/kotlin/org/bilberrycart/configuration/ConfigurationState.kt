package org.bilberrycart.configuration

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.model.VmId

/**
 * The state of the configuration duty.
 *
 * @property inForce the configuration that new requests use; null before the first adoption.
 * @property knownVersion the highest version that the store, a peer or an operator named.
 * @property knownFrom a peer that has [knownVersion] in force; null if no peer announced it.
 * @property lastContactAt when the store or a peer last answered or sent a message.
 * @property behindSince when a version higher than the one in force became known; null if there is
 *   none.
 * @property reportedVersion the version that was last reported to operators; -1 if the last report
 *   was not stored.
 * @property nextReportAt when the report is next due.
 * @property reads the number of reads of the store so far.
 * @property seed the seed of the random part of waiting times.
 */
public data class ConfigurationState(
    val timing: ConfigurationTiming = ConfigurationTiming(),
    val inForce: ConfigurationDocument? = null,
    val knownVersion: Long = 0,
    val knownFrom: VmId? = null,
    val isReading: Boolean = false,
    val nextReadAt: Duration = Duration.ZERO,
    val lastContactAt: Duration = Duration.ZERO,
    val behindSince: Duration? = null,
    val isReady: Boolean = false,
    val reportedVersion: Long = 0,
    val nextReportAt: Duration = Duration.ZERO,
    val reads: Long = 0,
    val seed: Long = 0,
) {
    /** The version in force; 0 before the first adoption. */
    public val version: Long
        get() = inForce?.version ?: 0

    /** Returns a random number from 0 to 1 that depends only on [seed] and [reads]. */
    internal fun jitter(): Double = Random(seed xor reads).nextDouble()
}

/**
 * The intervals and timeouts of the configuration duty.
 *
 * @property pollDelay the longest time between two reads of the store; the shortest is half of it.
 * @property retryDelay the longest time before another attempt to read a version that is known to
 *   exist.
 * @property isolationTimeout the time without contact to the store and to peers, or without a
 *   version that is known to exist, after which the node takes no new work.
 * @property reportInterval the time between two reports of the same version.
 */
public data class ConfigurationTiming(
    val pollDelay: Duration = 12.seconds,
    val retryDelay: Duration = 1.seconds,
    val isolationTimeout: Duration = 14.seconds,
    val reportInterval: Duration = 20.minutes,
) {
    public companion object {
        private val MIN_POLL_DELAY = 1.seconds
        private val MAX_POLL_DELAY = 12.seconds
        private val POLL_DELAY_PER_NODE = 500.milliseconds

        /**
         * Returns the timing for a fleet of [nodes] nodes. The nodes of a small fleet poll more
         * often, so that all together read about twice a second; no node polls less often than
         * every [MAX_POLL_DELAY].
         */
        public fun forFleetOf(nodes: Int): ConfigurationTiming = ConfigurationTiming(
            pollDelay = (POLL_DELAY_PER_NODE * nodes)
                .coerceIn(MIN_POLL_DELAY, MAX_POLL_DELAY),
        )
    }
}
