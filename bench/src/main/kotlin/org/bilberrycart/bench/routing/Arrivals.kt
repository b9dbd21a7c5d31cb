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

/** A request and the number of the node that the load balancer sends it to. */
internal data class Arrival(val node: Int, val request: GenerationRequest)

/**
 * Generates the open-loop load of a run.
 *
 * The load depends only on the shape of the fleet, the scenario and the seed, so that all policies
 * get the same requests. The lengths of answers are log-normal. The first two organisations send
 * half of the requests.
 */
internal class Arrivals(
    private val shape: FleetShape,
    private val scenario: Scenario,
    seed: Long,
) {
    private val random = Random(seed)
    private val gaussian = java.util.Random(seed)
    private val requestsPerSecond =
        scenario.load * shape.engines * shape.slots / MEAN_SERVICE_SECONDS

    /** Returns the requests in the order of their arrival. */
    fun all(): Sequence<Arrival> = generateSequence(next(Duration.ZERO, 0)) { last ->
        next(last.request.arrivedAt, last.request.id.value.drop(1).toInt() + 1)
    }.takeWhile { it.request.arrivedAt < scenario.minutes.minutes }

    /** Returns copy [number] of request body [killer], which crashes each engine that runs it. */
    fun killerArrival(killer: Int, number: Int, now: Duration): Arrival = Arrival(
        random.nextInt(shape.nodes),
        request(
            "k$killer-$number",
            "$KILLER_PREFIX$killer",
            OrganisationId("o0"),
            now,
            isShort = true,
        ),
    )

    private fun next(after: Duration, index: Int): Arrival {
        val isBurst = isBurstTime(after)
        val shares = List(shape.organisations) { shareOf(it, isBurst) }
        val gap = -ln(1 - random.nextDouble()) / (requestsPerSecond * shares.sum())
        val organisation = drawOrganisation(shares)
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
        sampling = Sampling(maxTokens = if (isShort) shortTokens() else tokens(MEAN_LONG_TOKENS)),
    )

    private fun shortTokens(): Int = tokens(MEAN_SHORT_TOKENS).coerceAtMost(MAX_SHORT_TOKENS)

    private fun tokens(mean: Int): Int =
        (mean * exp(SIGMA * gaussian.nextGaussian() - SIGMA * SIGMA / 2)).toInt().coerceAtLeast(1)

    private fun isBurstTime(now: Duration): Boolean =
        now >= scenario.minutes.minutes * BURST_START && now < scenario.minutes.minutes * BURST_END

    private fun shareOf(organisation: Int, isBurst: Boolean): Double {
        val share = weightOf(organisation, shape) / TOTAL_WEIGHT.toDouble()
        val isLast = organisation == shape.organisations - 1
        return if (isBurst && isLast) share * scenario.burstFactor else share
    }

    private fun drawOrganisation(shares: List<Double>): Int {
        val point = random.nextDouble() * shares.sum()
        val sums = shares.runningReduce(Double::plus)
        return sums.indexOfFirst { point < it }.coerceAtLeast(0)
    }

    internal companion object {
        val SERVICE = ServiceId("drafts")
        val MODEL = ModelRef("m")

        /** How the fingerprints of requests that crash engines start. */
        const val KILLER_PREFIX = "killer"

        /** The share of the requests that are short questions. */
        const val SHORT_SHARE = 0.88
        const val MEAN_SHORT_TOKENS = 40
        const val MAX_SHORT_TOKENS = 150
        const val MEAN_LONG_TOKENS = 1_200
        val SHORT_DEADLINE = 10.seconds
        val LONG_DEADLINE = 30.minutes

        /** When the burst starts, as a share of the length of the run. */
        const val BURST_START = 0.4

        /** When the burst ends, as a share of the length of the run. */
        const val BURST_END = 0.8

        /** The standard deviation of the logarithm of the length of an answer. */
        private const val SIGMA = 0.8
        private const val TOTAL_WEIGHT = 1_000
        private const val LARGE_WEIGHT = 250

        private const val MEAN_TOKENS =
            SHORT_SHARE * MEAN_SHORT_TOKENS + (1 - SHORT_SHARE) * MEAN_LONG_TOKENS

        /** How many seconds a mean request holds a slot of an engine whose batch is full. */
        val MEAN_SERVICE_SECONDS: Double =
            (FakeEngine.PREFILL + FakeEngine.FULL_INTERVAL * MEAN_TOKENS)
                .toDouble(DurationUnit.SECONDS)

        /** The share of the engine time that short questions take. */
        val SHORT_WORK_SHARE: Double = SHORT_SHARE *
            (FakeEngine.PREFILL + FakeEngine.FULL_INTERVAL * MEAN_SHORT_TOKENS)
                .toDouble(DurationUnit.SECONDS) / MEAN_SERVICE_SECONDS

        /**
         * Returns the weight of [organisation], of a total of 1000.
         *
         * It is its share of the load and its weight at admission. The first two are large.
         */
        fun weightOf(organisation: Int, shape: FleetShape): Int =
            if (organisation < 2) LARGE_WEIGHT else (TOTAL_WEIGHT / 2) / (shape.organisations - 2)
    }
}
