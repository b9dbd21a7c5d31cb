package org.bilberrycart.settings

import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The limits of each node.
 *
 * @property header the largest header of a request, in bytes.
 * @property body the largest body of a request, in bytes.
 * @property streamsPerOrganisation open streams of one organisation on one node.
 * @property idleCaller how long a caller may take no part of its answer.
 * @property generations generations in flight on one node.
 * @property shards the number of journal, replication and release duties, each.
 * @property drain how long a graceful shutdown waits for requests in progress.
 * @property organisationSeries organisations with histograms of their own; the others share one.
 */
@Serializable
public data class LimitSettings(
    @SerialName("headerBytes") val header: Int = 16_384,
    @SerialName("bodyBytes") val body: Int = 1_048_576,
    val streamsPerOrganisation: Int = 200,
    @SerialName("idleCallerMillis") val idleCaller: Millis = 60.seconds,
    val generations: Int = 2_000,
    val shards: Int = 2,
    @SerialName("drainMillis") val drain: Millis = 30.minutes,
    val organisationSeries: Int = 20,
)
