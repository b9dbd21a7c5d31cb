package org.bilberrycart.bench.processes

import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A request or a fault that is scheduled for a run. */
sealed class Scheduled {
    /** The time since the start of the run. */
    abstract val at: Duration

    /** A streamed generation of at most [tokens] tokens. */
    data class Generation(override val at: Duration, val number: Int, val tokens: Int) :
        Scheduled()

    /** A short question, which is answered in one response. */
    data class Question(override val at: Duration, val number: Int) : Scheduled()

    /** An action, which may run at most once. */
    data class Action(override val at: Duration, val number: Int) : Scheduled()

    /** A look-up, which may be retried. */
    data class Check(override val at: Duration, val number: Int) : Scheduled()

    /** The beginning of [fault]. */
    data class Fault(override val at: Duration, val fault: ProcessFault) : Scheduled()
}

/**
 * The seeded schedule of a run of the length [duration]. The load is open-loop: requests arrive
 * whether or not earlier ones have ended.
 */
data class ProcessPlan(val seed: Long, val duration: Duration) {
    /** Returns all requests and faults ordered by time; each call returns the same list. */
    fun schedule(): List<Scheduled> = (requests() + faults()).sortedBy { it.at }

    private fun requests(): List<Scheduled> {
        val random = Random(seed)
        return arrivals(random).mapIndexed { number, at ->
            val draw = random.nextInt(PERCENT)
            when {
                draw < GENERATIONS_BELOW ->
                    Scheduled.Generation(at, number, random.nextInt(MIN_TOKENS, TOKENS_BOUND))
                draw < QUESTIONS_BELOW -> Scheduled.Question(at, number)
                draw < CHECKS_BELOW -> Scheduled.Check(at, number)
                else -> Scheduled.Action(at, number)
            }
        }
    }

    private fun arrivals(random: Random): List<Duration> = generateSequence(randomGap(random)) {
        it + randomGap(random)
    }.takeWhile { it < duration }.toList()

    private fun randomGap(random: Random): Duration =
        (-ln(1 - random.nextDouble()) / REQUESTS_PER_SECOND).seconds

    private fun faults(): List<Scheduled.Fault> {
        val random = Random(seed + 1)
        val first = FIRST_FAULT + randomBetween(random, FAULT_GAP_MILLIS)
        return generateSequence(first) { it + randomBetween(random, FAULT_GAP_MILLIS) }
            .takeWhile { it < duration - FAULT_FREE_END }
            .map { Scheduled.Fault(it, randomFault(random)) }
            .toList()
    }

    private fun randomFault(random: Random): ProcessFault {
        val faultDuration = randomBetween(random, FAULT_DURATION_MILLIS)
        val node = random.nextInt(ProcessFleet.NODES)
        val engine = random.nextInt(ProcessFleet.ENGINES)
        val kinds = listOf(
            ProcessFault.KillNode(node, faultDuration),
            ProcessFault.KillEngine(engine, faultDuration),
            ProcessFault.PauseNode(node, faultDuration),
            ProcessFault.PauseEngine(engine, faultDuration),
            ProcessFault.SilenceEngine(engine, faultDuration),
            ProcessFault.LoseAnswers(random.nextInt(1, LOST_ANSWERS_BOUND), faultDuration),
            ProcessFault.Platform(PLATFORM_FAULTS.random(random), faultDuration),
        )
        return kinds.random(random)
    }

    private fun randomBetween(random: Random, range: LongRange): Duration =
        random.nextLong(range.first, range.last).milliseconds

    private companion object {
        const val PERCENT = 100
        const val GENERATIONS_BELOW = 40
        const val QUESTIONS_BELOW = 60
        const val CHECKS_BELOW = 65
        const val MIN_TOKENS = 20
        const val TOKENS_BOUND = 240
        const val REQUESTS_PER_SECOND = 8.0
        const val LOST_ANSWERS_BOUND = 4
        val FIRST_FAULT = 3.seconds
        val FAULT_FREE_END = 5.seconds
        val FAULT_GAP_MILLIS = 1_500L..6_000L
        val FAULT_DURATION_MILLIS = 1_000L..5_000L
        val PLATFORM_FAULTS = listOf(
            """{"down":true}""",
            """{"hang":true}""",
            """{"lostAnswers":0.5}""",
            """{"slowMillis":800}""",
        )
    }
}
