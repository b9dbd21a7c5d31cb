package org.bilberrycart.gateway.model

import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * What a node tells the others about prompt parts that may crash upstreams. Ages are in
 * milliseconds.
 *
 * @property crashes the latest crashes of upstreams that had just begun to answer.
 * @property answerAges how long ago the sender got an answer to a prompt with each part; only for
 *   parts that some node suspects.
 * @property blockedAges how long ago the last crash was for which each blocked part is blocked.
 */
@Serializable
public data class PartReport(
    @CborLabel(label = 1) val crashes: List<CrashReport> = emptyList(),
    @CborLabel(label = 2) val answerAges: Map<String, Int> = emptyMap(),
    @CborLabel(label = 3) val blockedAges: Map<String, Int> = emptyMap(),
) {
    /** The crash of one upstream, and the prompt parts of the calls that it had begun. */
    @Serializable
    public data class CrashReport(
        @CborLabel(label = 1) val upstream: String,
        @CborLabel(label = 2) val ageMillis: Int,
        @CborLabel(label = 3) val parts: List<String>,
    )

    /** Whether there is nothing to report. */
    public val isEmpty: Boolean
        get() = crashes.isEmpty() && answerAges.isEmpty() && blockedAges.isEmpty()

    /** Returns this report as it reads [millis] later. */
    public fun agedBy(millis: Int): PartReport = PartReport(
        crashes = crashes.map { it.copy(ageMillis = it.ageMillis + millis) },
        answerAges = answerAges.mapValues { it.value + millis },
        blockedAges = blockedAges.mapValues { it.value + millis },
    )

    /** Whether [other] reports the same crashes and parts, whatever their ages. */
    public fun hasSameSubjects(other: PartReport): Boolean =
        crashes.map { it.upstream to it.parts } == other.crashes.map { it.upstream to it.parts } &&
            answerAges.keys == other.answerAges.keys &&
            blockedAges.keys == other.blockedAges.keys
}
