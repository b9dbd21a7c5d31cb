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
 * @property inForce what new requests use; null before the first adoption.
 * @property heard the highest version that a peer or the store named.
 * @property heardFrom the peer that named it.
 * @property contactAt when the store or a peer was last heard.
 * @property behindSince since when a higher version than the one in force is known.
 * @property reported the version that operators can see to be in force here.
 * @property nextReportAt when the report is written again.
 * @property reads reads of the store so far.
 */
public data class ConfigurationState(
    val timing: ConfigurationTiming = ConfigurationTiming(),
    val inForce: ConfigurationDocument? = null,
    val heard: Long = 0,
    val heardFrom: VmId? = null,
    val isReading: Boolean = false,
    val nextReadAt: Duration = Duration.ZERO,
    val contactAt: Duration = Duration.ZERO,
    val behindSince: Duration? = null,
    val isReady: Boolean = false,
    val reported: Long = 0,
    val nextReportAt: Duration = Duration.ZERO,
    val reads: Long = 0,
    val seed: Long = 0,
) {
    /** The version in force; 0 before the first adoption. */
    public val version: Long
        get() = inForce?.version ?: 0

    /** Returns a number from 0 to 1 that depends on the seed and the reads so far only. */
    internal fun spread(): Double = Random(seed xor reads).nextDouble()
}

/**
 * The timing of the configuration duty.
 *
 * @property poll the longest time between two reads; half of it is the shortest.
 * @property chase the longest time between two tries for a version that is known to exist.
 * @property isolation after this long without store and peers the node takes no new work.
 * @property report the time between two reports of the same version.
 */
public data class ConfigurationTiming(
    val poll: Duration = 12.seconds,
    val chase: Duration = 1.seconds,
    val isolation: Duration = 14.seconds,
    val report: Duration = 20.minutes,
) {
    public companion object {
        private val MIN_POLL = 1.seconds
        private val MAX_POLL = 12.seconds
        private val POLL_PER_NODE = 500.milliseconds

        /**
         * Returns the timing for a fleet of [nodes]: a small fleet polls more often, so that all
         * its nodes together read about twice a second, and no node polls more seldom than
         * [MAX_POLL].
         */
        public fun ofFleet(nodes: Int): ConfigurationTiming =
            ConfigurationTiming(poll = (POLL_PER_NODE * nodes).coerceIn(MIN_POLL, MAX_POLL))
    }
}
