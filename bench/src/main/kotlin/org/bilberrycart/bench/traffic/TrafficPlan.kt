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
 * One class of requests in a plan; the lengths are log-normal, so that a few are very long.
 *
 * @property share its part of the arrivals, relative to the other classes.
 * @property medianTokens the median of the largest answer length that requests ask for.
 * @property spread the standard deviation of the logarithm of that length; 0 for equal lengths.
 * @property longestTokens the limit of the length.
 * @property deadlineSeconds the time for the whole answer.
 */
@Serializable
data class ClassMix(
    val requestClass: RequestClass,
    val share: Double,
    val medianTokens: Int,
    val spread: Double = 0.0,
    val longestTokens: Int = 4_000,
    val deadlineSeconds: Int = 600,
)

/** A change of the arrival rate of [organisation] (of all if empty) to [factor] times. */
@Serializable
data class Surge(
    val organisation: String = "",
    val fromSeconds: Double,
    val untilSeconds: Double,
    val factor: Double,
) {
    internal fun isFor(name: String): Boolean = organisation.isEmpty() || organisation == name

    internal fun factorFor(name: String, at: Double): Double =
        if (isFor(name) && at in fromSeconds..<untilSeconds) factor else 1.0
}

/**
 * A seeded open-loop load: requests arrive at random times whether or not earlier ones are done.
 *
 * @property ratePerSecond the mean arrivals a second of all organisations together.
 * @property organisations the part of the arrivals of each, relative to the others.
 * @property sharedWords how many words the prompts of one organisation have in common.
 * @property ownWords how many words are each prompt's own.
 */
@Serializable
data class TrafficPlan(
    val seed: Long,
    val durationSeconds: Double,
    val ratePerSecond: Double,
    val organisations: Map<String, Double>,
    val classes: List<ClassMix>,
    val surges: List<Surge> = emptyList(),
    val sharedWords: Int = 32,
    val ownWords: Int = 16,
) {
    init {
        require(ratePerSecond > 0) { "ratePerSecond must be positive, got $ratePerSecond" }
        require(organisations.isNotEmpty()) { "organisations must not be empty" }
        require(classes.isNotEmpty()) { "classes must not be empty" }
    }

    /** How long the load lasts. */
    val duration: Duration
        get() = durationSeconds.seconds

    /** Returns the arrivals in order of time; the same ones each time. */
    fun arrivals(): List<Arrival> {
        val streams = organisations.entries.mapIndexed { index, (name, weight) ->
            val rate = ratePerSecond * weight / organisations.values.sum()
            organisation(name, rate, Random(seed * SEED_STRIDE + index))
        }
        return streams.asSequence().flatten()
            .sortedBy { it.at }
            .mapIndexed { number, draft -> draft.copy(number = number) }
            .toList()
    }

    private fun organisation(name: String, rate: Double, random: Random): List<Arrival> {
        val peak = rate * peakFactor(name)
        return generateSequence(wait(peak, random)) { it + wait(peak, random) }
            .takeWhile { it < durationSeconds }
            .filter { at -> random.nextDouble() * peakFactor(name) < factorAt(name, at) }
            .mapIndexed { index, at -> arrival(name, index, at, random) }
            .toList()
    }

    private fun peakFactor(name: String): Double =
        (surges.map { factorAt(name, it.fromSeconds) } + factorAt(name, 0.0)).max()

    private fun factorAt(name: String, at: Double): Double =
        surges.fold(1.0) { factor, surge -> factor * surge.factorFor(name, at) }

    private fun wait(rate: Double, random: Random): Double = -ln(1 - random.nextDouble()) / rate

    private fun arrival(name: String, index: Int, at: Double, random: Random): Arrival {
        val mix = pick(random.nextDouble() * classes.sumOf { it.share })
        val tokens = mix.medianTokens * exp(mix.spread * random.asJavaRandom().nextGaussian())
        val shared = List(sharedWords) { "$name-rule-$it" }
        val own = List(ownWords) { "$name-$seed-$index-$it" }
        return Arrival(
            number = index,
            at = at.seconds,
            organisation = OrganisationId(name),
            requestClass = mix.requestClass,
            prompt = (shared + own).joinToString(" "),
            maxTokens = tokens.toInt().coerceIn(1, mix.longestTokens),
            deadline = mix.deadlineSeconds.seconds,
            isSurging = surges.any { it.isFor(name) },
        )
    }

    private fun pick(draw: Double): ClassMix {
        val sums = classes.runningFold(0.0) { sum, mix -> sum + mix.share }.drop(1)
        return classes[sums.indexOfFirst { draw < it }.coerceAtLeast(0)]
    }

    private companion object {
        const val SEED_STRIDE = 1_000_003
    }
}
