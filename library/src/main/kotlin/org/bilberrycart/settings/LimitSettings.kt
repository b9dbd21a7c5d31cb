package org.bilberrycart.settings

import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The limits of each node; all nodes have the same ones.
 *
 * @property maxHeaderBytes the maximum size of a request's header, in bytes.
 * @property maxBodyBytes the maximum size of a request's body, in bytes.
 * @property streamsPerOrganisation the maximum number of open streams of an organisation on one
 *   node.
 * @property idleCallerTimeout how long a caller may go without reading any part of its answer.
 * @property generations the maximum number of generations in flight on one node.
 * @property shards the number of journal duties, of replication duties and of release duties.
 * @property drainTimeout how long a graceful shutdown waits for requests in flight.
 * @property organisationSeries the maximum number of organisations with their own histograms; all
 *   others share one series.
 */
@Serializable
public data class LimitSettings(
    @SerialName("headerBytes") val maxHeaderBytes: Int = 16_384,
    @SerialName("bodyBytes") val maxBodyBytes: Int = 1_048_576,
    val streamsPerOrganisation: Int = 200,
    @SerialName("idleCallerMillis") val idleCallerTimeout: Millis = 60.seconds,
    val generations: Int = 2_000,
    val shards: Int = 2,
    @SerialName("drainMillis") val drainTimeout: Millis = 30.minutes,
    val organisationSeries: Int = 20,
)
