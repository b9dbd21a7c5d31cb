package org.bilberrycart.configuration

import kotlin.random.Random
import kotlin.time.Duration
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
 */
public data class ConfigurationTiming(
    val poll: Duration = 12.seconds,
    val chase: Duration = 1.seconds,
    val isolation: Duration = 14.seconds,
)
