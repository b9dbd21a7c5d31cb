package org.bilberrycart.bench.processes

import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What happens [at] a time from the start of a run. */
sealed class Scheduled {
    /** The time from the start. */
    abstract val at: Duration

    /** A streamed generation. */
    data class Generation(override val at: Duration, val number: Int, val tokens: Int) :
        Scheduled()

    /** A short question, answered whole. */
    data class Question(override val at: Duration, val number: Int) : Scheduled()

    /** An action that may run at most once. */
    data class Action(override val at: Duration, val number: Int) : Scheduled()

    /** A look-up that may be repeated. */
    data class Check(override val at: Duration, val number: Int) : Scheduled()

    /** A fault begins. */
    data class Fault(override val at: Duration, val fault: ProcessFault) : Scheduled()
}

/** The seeded schedule of a run; requests come whether or not earlier ones are done. */
data class ProcessPlan(val seed: Long, val duration: Duration) {
    /** Returns all that happens, in order of time; the same each time. */
    fun schedule(): List<Scheduled> = (requests() + faults()).sortedBy { it.at }

    private fun requests(): List<Scheduled> {
        val random = Random(seed)
        return arrivals(random).mapIndexed { number, at ->
            val draw = random.nextInt(PERCENT)
            when {
                draw < GENERATION_PERCENT ->
                    Scheduled.Generation(at, number, random.nextInt(LEAST_TOKENS, MOST_TOKENS))
                draw < QUESTION_PERCENT -> Scheduled.Question(at, number)
                draw < CHECK_PERCENT -> Scheduled.Check(at, number)
                else -> Scheduled.Action(at, number)
            }
        }
    }

    private fun arrivals(random: Random): List<Duration> =
        generateSequence(gap(random)) { it + gap(random) }.takeWhile { it < duration }.toList()

    private fun gap(random: Random): Duration =
        (-ln(1 - random.nextDouble()) / REQUESTS_PER_SECOND).seconds

    private fun faults(): List<Scheduled.Fault> {
        val random = Random(seed + 1)
        val first = FIRST_FAULT + between(random, GAP_MILLIS)
        return generateSequence(first) { it + between(random, GAP_MILLIS) }
            .takeWhile { it < duration - QUIET_END }
            .map { Scheduled.Fault(it, fault(random)) }
            .toList()
    }

    private fun fault(random: Random): ProcessFault {
        val lasts = between(random, LAST_MILLIS)
        val node = random.nextInt(ProcessFleet.NODES)
        val engine = random.nextInt(ProcessFleet.ENGINES)
        val kinds = listOf(
            ProcessFault.KillNode(node, lasts),
            ProcessFault.KillEngine(engine, lasts),
            ProcessFault.PauseNode(node, lasts),
            ProcessFault.PauseEngine(engine, lasts),
            ProcessFault.SilenceEngine(engine, lasts),
            ProcessFault.LoseAnswers(random.nextInt(1, MOST_LOST), lasts),
            ProcessFault.Platform(OUTAGES.random(random), lasts),
        )
        return kinds.random(random)
    }

    private fun between(random: Random, range: LongRange): Duration =
        random.nextLong(range.first, range.last).milliseconds

    private companion object {
        const val PERCENT = 100
        const val GENERATION_PERCENT = 40
        const val QUESTION_PERCENT = 60
        const val CHECK_PERCENT = 65
        const val LEAST_TOKENS = 20
        const val MOST_TOKENS = 240
        const val REQUESTS_PER_SECOND = 8.0
        const val MOST_LOST = 4
        val FIRST_FAULT = 3.seconds
        val QUIET_END = 5.seconds
        val GAP_MILLIS = 1_500L..6_000L
        val LAST_MILLIS = 1_000L..5_000L
        val OUTAGES = listOf(
            """{"down":true}""",
            """{"hang":true}""",
            """{"lostAnswers":0.5}""",
            """{"slowMillis":800}""",
        )
    }
}
