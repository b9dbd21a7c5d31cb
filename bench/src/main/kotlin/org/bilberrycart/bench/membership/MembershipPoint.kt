package org.bilberrycart.bench.membership

import kotlinx.serialization.Serializable

/**
 * The cost of one node in a fleet of [members].
 *
 * @property bytesPerSecond what a node sends: messages, handshakes and heartbeats of links.
 * @property coreShare the processor time of decisions and encoding, as a share of one core.
 * @property heapBytes the heap that the state of one node takes.
 * @property detectionP50 seconds from a node's death until another node knows.
 * @property falseSuspicionsPerNodeHour with 5% loss and a pause of 1 s a minute on each node.
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
