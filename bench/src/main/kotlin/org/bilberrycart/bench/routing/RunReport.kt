package org.bilberrycart.bench.routing

import kotlinx.serialization.Serializable

/**
 * What requests of one class saw, those of the organisation with the burst left out.
 *
 * @property requests the requests that arrived.
 * @property refused the share that was refused.
 * @property firstTokenP95 the wait for the first token in milliseconds.
 * @property dispatchP95 the part of the wait until it was sent to an engine, in milliseconds.
 * @property worstMinuteP95 the highest [firstTokenP95] of any minute.
 * @property meanSojourn the mean time from arrival to the last token in milliseconds.
 * @property late answers that ended after their deadline.
 */
@Serializable
data class ClassReport(
    val requests: Long,
    val refused: Double,
    val firstTokenP50: Long,
    val firstTokenP95: Long,
    val firstTokenP99: Long,
    val dispatchP95: Long,
    val worstMinuteP95: Long,
    val meanSojourn: Double,
    val late: Long,
)

/**
 * The result of one policy run.
 *
 * @property resumeP50 the time from an engine's death to the next token, in milliseconds.
 * @property retryShare retries for each first attempt.
 * @property refusals requests that were refused, by result code, those of the burst included.
 * @property falseRefusals innocent requests that were refused as crashing upstreams.
 * @property suspectsAlone innocent attempts that had to run alone.
 */
@Serializable
data class RunReport(
    val policy: String,
    val fleet: String,
    val scenario: String,
    val seed: Long,
    val short: ClassReport,
    val long: ClassReport,
    val resumes: Long,
    val resumeP50: Long,
    val resumeP99: Long,
    val resumeMax: Long,
    val retryShare: Double,
    val refusals: Map<String, Long>,
    val enginesLost: Long,
    val killerSends: Long,
    val enginesLostToKillers: Long,
    val falseRefusals: Long,
    val suspectsAlone: Long,
)
