package org.bilberrycart.bench.routing

import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import org.bilberrycart.model.Fingerprint
import org.bilberrycart.model.GenerationRequest
import org.bilberrycart.model.ModelRef
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.RequestClass
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.Sampling
import org.bilberrycart.model.ServiceId

/** A request, the node that the balancer gives it to, and the tokens of its answer. */
internal data class Arrival(val node: Int, val request: GenerationRequest)

/**
 * The open-loop load of a run; it depends on the seed only, so that all policies see the same.
 *
 * The lengths of answers are log-normal. The first two organisations bring half of the load.
 */
internal class Arrivals(
    private val shape: FleetShape,
    private val scenario: Scenario,
    seed: Long,
) {
    private val random = Random(seed)
    private val normal = java.util.Random(seed)
    private val rate = scenario.load * shape.engines * shape.slots / MEAN_SECONDS

    /** Returns the load as a list of requests in the order of their arrival. */
    fun all(): Sequence<Arrival> = generateSequence(next(Duration.ZERO, 0)) { last ->
        next(last.request.arrivedAt, last.request.id.value.drop(1).toInt() + 1)
    }.takeWhile { it.request.arrivedAt < scenario.minutes.minutes }

    /** Returns copy [number] of the body [killer] that crashes engines. */
    fun killer(killer: Int, number: Int, now: Duration): Arrival = Arrival(
        random.nextInt(shape.nodes),
        request("k$killer-$number", "$KILLER$killer", OrganisationId("o0"), now, isShort = true),
    )

    private fun next(after: Duration, index: Int): Arrival {
        val isBurst = isBurstTime(after)
        val shares = List(shape.organisations) { shareOf(it, isBurst) }
        val gap = -ln(1 - random.nextDouble()) / (rate * shares.sum())
        val organisation = pick(shares)
        val isShort = random.nextDouble() < SHORT_SHARE
        val id = "r$index"
        val owner = OrganisationId("o$organisation")
        return Arrival(
            random.nextInt(shape.nodes),
            request(id, id, owner, after + gap.seconds, isShort),
        )
    }

    private fun request(
        id: String,
        fingerprint: String,
        organisation: OrganisationId,
        now: Duration,
        isShort: Boolean,
    ) = GenerationRequest(
        id = RequestId(id),
        organisation = organisation,
        service = SERVICE,
        requestClass = if (isShort) RequestClass.SHORT_QUESTION else RequestClass.LONG_DRAFT,
        fingerprint = Fingerprint(fingerprint),
        arrivedAt = now,
        deadline = now + if (isShort) SHORT_DEADLINE else LONG_DEADLINE,
        model = MODEL,
        prompt = "prefix ${random.nextInt(shape.prefixes)}",
        sampling = Sampling(maxTokens = if (isShort) shortTokens() else tokens(LONG_TOKENS)),
    )

    private fun shortTokens(): Int = tokens(SHORT_TOKENS).coerceAtMost(MAX_SHORT_TOKENS)

    private fun tokens(mean: Int): Int =
        (mean * exp(SIGMA * normal.nextGaussian() - SIGMA * SIGMA / 2)).toInt().coerceAtLeast(1)

    private fun isBurstTime(now: Duration): Boolean =
        now >= scenario.minutes.minutes * BURST_FROM && now < scenario.minutes.minutes * BURST_TO

    private fun shareOf(organisation: Int, isBurst: Boolean): Double {
        val share = weightOf(organisation, shape) / TOTAL_WEIGHT.toDouble()
        val isLast = organisation == shape.organisations - 1
        return if (isBurst && isLast) share * scenario.burstFactor else share
    }

    private fun pick(shares: List<Double>): Int {
        val point = random.nextDouble() * shares.sum()
        val sums = shares.runningReduce(Double::plus)
        return sums.indexOfFirst { point < it }.coerceAtLeast(0)
    }

    internal companion object {
        val SERVICE = ServiceId("drafts")
        val MODEL = ModelRef("m")
        const val KILLER = "killer"

        /** The share of the requests that are short questions. */
        const val SHORT_SHARE = 0.88
        const val SHORT_TOKENS = 40
        const val MAX_SHORT_TOKENS = 150
        const val LONG_TOKENS = 1_200
        val SHORT_DEADLINE = 10.seconds
        val LONG_DEADLINE = 30.minutes
        const val BURST_FROM = 0.4
        const val BURST_TO = 0.8
        private const val SIGMA = 0.8
        private const val TOTAL_WEIGHT = 1_000
        private const val LARGE_WEIGHT = 250

        private const val MEAN_TOKENS = SHORT_SHARE * SHORT_TOKENS + (1 - SHORT_SHARE) * LONG_TOKENS

        /** How long a mean request holds a slot of an engine whose batch is full. */
        val MEAN_SECONDS: Double = (FakeEngine.PREFILL + FakeEngine.FULL_INTERVAL * MEAN_TOKENS)
            .toDouble(DurationUnit.SECONDS)

        /** The share of the work that short questions bring. */
        val SHORT_WORK: Double = SHORT_SHARE *
            (FakeEngine.PREFILL + FakeEngine.FULL_INTERVAL * SHORT_TOKENS)
                .toDouble(DurationUnit.SECONDS) / MEAN_SECONDS

        /** Returns the weight of [organisation]; two of them are large. */
        fun weightOf(organisation: Int, shape: FleetShape): Int =
            if (organisation < 2) LARGE_WEIGHT else (TOTAL_WEIGHT / 2) / (shape.organisations - 2)
    }
}
