package org.bilberrycart.bench.traffic

import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random
import kotlin.random.asJavaRandom
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.Serializable
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.RequestClass

/**
 * One class of requests in a plan. Answer lengths are log-normal, so that a few are very long.
 *
 * @property share the weight of this class among the arrivals, relative to the other classes.
 * @property medianTokens the median of the maximum answer length that requests ask for.
 * @property spread the standard deviation of the logarithm of that length; 0 for equal lengths.
 * @property longestTokens the upper limit of that length.
 * @property deadlineSeconds the time limit for the whole answer.
 */
@Serializable
data class TrafficClass(
    val requestClass: RequestClass,
    val share: Double,
    val medianTokens: Int,
    val spread: Double = 0.0,
    val longestTokens: Int = 4_000,
    val deadlineSeconds: Int = 600,
)

/** Multiplies the arrival rate of [organisation], or of all if it is empty, by [factor]. */
@Serializable
data class Surge(
    val organisation: String = "",
    val fromSeconds: Double,
    val untilSeconds: Double,
    val factor: Double,
) {
    internal fun appliesTo(name: String): Boolean = organisation.isEmpty() || organisation == name

    internal fun factorFor(name: String, at: Double): Double =
        if (appliesTo(name) && at in fromSeconds..<untilSeconds) factor else 1.0
}

/**
 * A seeded open-loop load: requests arrive at random times whether or not earlier ones are done.
 *
 * @property ratePerSecond the mean number of arrivals each second, over all organisations.
 * @property organisations the weight of each organisation among the arrivals.
 * @property sharedWords the number of words that all prompts of one organisation share.
 * @property ownWords the number of words that are unique to each prompt.
 */
@Serializable
data class TrafficPlan(
    val seed: Long,
    val durationSeconds: Double,
    val ratePerSecond: Double,
    val organisations: Map<String, Double>,
    val classes: List<TrafficClass>,
    val surges: List<Surge> = emptyList(),
    val sharedWords: Int = 32,
    val ownWords: Int = 16,
) {
    init {
        require(ratePerSecond > 0) { "ratePerSecond must be positive, got $ratePerSecond" }
        require(organisations.isNotEmpty()) { "organisations must not be empty" }
        require(classes.isNotEmpty()) { "classes must not be empty" }
    }

    /** The time during which requests arrive. */
    val duration: Duration
        get() = durationSeconds.seconds

    /** Returns the arrivals in order of time; equal plans give equal arrivals. */
    fun arrivals(): List<Arrival> {
        val byOrganisation = organisations.entries.mapIndexed { index, (name, weight) ->
            val rate = ratePerSecond * weight / organisations.values.sum()
            organisationArrivals(name, rate, Random(seed * SEED_STRIDE + index))
        }
        return byOrganisation.asSequence().flatten()
            .sortedBy { it.at }
            .mapIndexed { number, arrival -> arrival.copy(number = number) }
            .toList()
    }

    private fun organisationArrivals(name: String, rate: Double, random: Random): List<Arrival> {
        val peak = rate * peakFactor(name)
        return generateSequence(nextInterval(peak, random)) { it + nextInterval(peak, random) }
            .takeWhile { it < durationSeconds }
            .filter { at -> random.nextDouble() * peakFactor(name) < factorAt(name, at) }
            .mapIndexed { index, at -> arrival(name, index, at, random) }
            .toList()
    }

    private fun peakFactor(name: String): Double =
        (surges.map { factorAt(name, it.fromSeconds) } + factorAt(name, 0.0)).max()

    private fun factorAt(name: String, at: Double): Double =
        surges.fold(1.0) { factor, surge -> factor * surge.factorFor(name, at) }

    /** Returns an exponentially distributed time between two arrivals, in seconds. */
    private fun nextInterval(rate: Double, random: Random): Double =
        -ln(1 - random.nextDouble()) / rate

    private fun arrival(name: String, index: Int, at: Double, random: Random): Arrival {
        val trafficClass = pickClass(random.nextDouble() * classes.sumOf { it.share })
        val tokens = trafficClass.medianTokens *
            exp(trafficClass.spread * random.asJavaRandom().nextGaussian())
        val shared = List(sharedWords) { "$name-rule-$it" }
        val own = List(ownWords) { "$name-$seed-$index-$it" }
        return Arrival(
            number = index,
            at = at.seconds,
            organisation = OrganisationId(name),
            requestClass = trafficClass.requestClass,
            prompt = (shared + own).joinToString(" "),
            maxTokens = tokens.toInt().coerceIn(1, trafficClass.longestTokens),
            deadline = trafficClass.deadlineSeconds.seconds,
            isSurging = surges.any { it.appliesTo(name) },
        )
    }

    private fun pickClass(draw: Double): TrafficClass {
        val sums = classes.runningFold(0.0) { sum, item -> sum + item.share }.drop(1)
        return classes[sums.indexOfFirst { draw < it }.coerceAtLeast(0)]
    }

    private companion object {
        const val SEED_STRIDE = 1_000_003
    }
}
