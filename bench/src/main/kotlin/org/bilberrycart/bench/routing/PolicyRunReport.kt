package org.bilberrycart.bench.routing

import kotlinx.serialization.Serializable

/**
 * What callers saw of the requests of one class, without the organisation with the burst.
 *
 * @property requests how many requests arrived.
 * @property refused the share of [requests] that was refused.
 * @property firstTokenP95 the time from arrival to the first token, in milliseconds.
 * @property dispatchP95 the time from arrival to the first dispatch, in milliseconds.
 * @property worstMinuteP95 the highest [firstTokenP95] of any minute, in milliseconds.
 * @property meanSojourn the mean time from arrival to the last token in milliseconds.
 * @property late how many answers ended after their deadline.
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
 * @property resumes how many interrupted answers went on after a crash.
 * @property resumeP50 the time from the crash of an engine to the next token, in milliseconds.
 * @property retryShare the number of retries per first attempt.
 * @property refusals how many requests were refused, by result code, the burst included.
 * @property enginesLost how many times an engine crashed.
 * @property killerSends how many requests were sent that crash engines.
 * @property enginesLostToKillers how many of [enginesLost] such requests caused.
 * @property falseRefusals how many harmless requests were refused because they seemed to crash
 * upstreams.
 * @property suspectsAlone how many attempts of harmless requests had to run alone on an engine.
 */
@Serializable
data class PolicyRunReport(
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
