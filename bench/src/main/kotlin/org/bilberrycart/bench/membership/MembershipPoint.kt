package org.bilberrycart.bench.membership

import kotlinx.serialization.Serializable

/**
 * The measured cost of membership for one node in a fleet of [members] nodes.
 *
 * @property linksPerSecond the connections that are opened per second and node.
 * @property bytesPerSecond the bytes that a node sends: messages, handshakes and heartbeats.
 * @property coreShare the processor time of decisions and encoding, as a share of one core.
 * @property heapBytes the heap size of the state of one node.
 * @property detectionP50 the median time in seconds from the death of a node until another node
 *   detects it.
 * @property detectionP99 the 99th percentile of the same time, in seconds.
 * @property detectionsMissing the number of detections that did not happen in time.
 * @property falseSuspicionsPerNodeHour the false suspicions while 5% of the messages are lost and
 *   each node pauses for 1 s about once a minute.
 * @property falseDeathsPerNodeHour the false deaths under the same faults.
 */
@Serializable
data class MembershipPoint(
    val members: Int,
    val messagesPerSecond: Double,
    val linksPerSecond: Double,
    val bytesPerSecond: Double,
    val coreShare: Double,
    val heapBytes: Double,
    val detectionP50: Double,
    val detectionP99: Double,
    val detectionsMissing: Int,
    val falseSuspicionsPerNodeHour: Double,
    val falseDeathsPerNodeHour: Double,
)
