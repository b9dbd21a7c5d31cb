package org.bilberrycart.gateway.placement

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.minus
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.bilberrycart.gateway.model.PartReport
import org.bilberrycart.gateway.model.PromptPartId
import org.bilberrycart.gateway.model.UpstreamId

/**
 * Finds prompt parts that crash upstreams, and blocks calls whose prompts contain one.
 *
 * A part that crashes its upstreams does so as the answer begins, whatever else the prompt holds,
 * so it gathers crashes and no answers. Calls that share only its other parts are answered in
 * between. The crashes are explained by as few parts as possible: the part with the most crashes
 * since its last answer is blocked first, and its crashes count against no other part.
 *
 * Nodes exchange what they know by [PartReport] and merge it, so that it outlives each of them.
 *
 * @property crashes the latest crashes over all nodes, oldest first.
 * @property answers the latest answers, by part.
 * @property blocked the blocked parts, and when each was last seen in a crash.
 * @property disputed the parts that this node has answers for, and when another node last
 *   suspected each.
 */
public data class PartHistory(
    val crashes: PersistentList<PartCrash> = persistentListOf(),
    val answers: PersistentMap<PromptPartId, PartAnswer> = persistentMapOf(),
    val blocked: PersistentMap<PromptPartId, Duration> = persistentMapOf(),
    val disputed: PersistentMap<PromptPartId, Duration> = persistentMapOf(),
) {
    /** Returns a blocked part among [parts], or null if a call with these parts may be sent. */
    public fun blockedAmong(parts: List<PromptPartId>, now: Duration): PromptPartId? =
        if (blocked.isEmpty()) null else parts.firstOrNull { isBlocked(it, now) }

    private fun isBlocked(part: PromptPartId, now: Duration): Boolean =
        blocked[part]?.let { now - it < BLOCK_TIME } == true

    /** Returns the history after [upstream] crashed as it began to answer a call with [parts]. */
    public fun withCrash(
        upstream: UpstreamId,
        parts: PersistentList<PromptPartId>,
        now: Duration,
    ): PartHistory = adding(PartCrash(upstream, now, parts)).pruned(now).withBlocks(now)

    /** Returns the history after an upstream answered a call with [parts] without a crash. */
    public fun withAnswer(parts: List<PromptPartId>, now: Duration): PartHistory {
        if (parts.isEmpty()) return this
        val added = answers.putAll(parts.associateWith { PartAnswer(now, isOwn = true) })
        val kept = if (added.size <= MAX_ANSWERS) added else latestHalf(added)
        return copy(
            answers = kept,
            blocked = blocked - parts.toSet(),
            disputed = disputed.putAll(parts.filter { it in blocked }.associateWith { now }),
        )
    }

    /** Returns the history with what another node told in [report]. */
    public fun withReport(report: PartReport, now: Duration): PartHistory {
        if (report.isEmpty) return this
        val answered = report.answerAges.entries.fold(this) { history, (part, age) ->
            history.withPeerAnswer(PromptPartId(part), now - age.milliseconds)
        }
        val crashed = report.crashes.fold(answered) { history, crash ->
            val parts = crash.parts.map(::PromptPartId).toPersistentList()
            val at = now - crash.ageMillis.milliseconds
            history.adding(PartCrash(UpstreamId(crash.upstream), at, parts))
        }
        val next = report.blockedAges.entries.fold(crashed) { history, (part, age) ->
            history.withPeerBlock(PromptPartId(part), now - age.milliseconds)
        }.withDisputes(report, now)
        return if (next === this) this else next.pruned(now).withBlocks(now)
    }

    /** Returns what this node tells the others at [now]. */
    public fun toReport(now: Duration): PartReport {
        val reported = crashes.filter { now - it.at < REPORT_TIME }.takeLast(MAX_REPORTED)
        val reportedBlocks = blocked.filterValues { now - it < BLOCK_TIME }
        val suspected = reported.flatMap { it.parts } + reportedBlocks.keys +
            disputed.filterValues { now - it < REPORT_TIME }.keys
        if (suspected.isEmpty()) return PartReport()
        return PartReport(
            crashes = reported.map { crash ->
                PartReport.CrashReport(
                    upstream = crash.upstream.value,
                    ageMillis = (now - crash.at).toMillis(),
                    parts = crash.parts.map { it.value },
                )
            },
            answerAges = suspected.distinct().mapNotNull { part ->
                answers[part]?.takeIf { it.isOwn }?.let { part.value to (now - it.at).toMillis() }
            }.toMap(),
            blockedAges = reportedBlocks.entries.associate { (part, at) ->
                part.value to (now - at).toMillis()
            },
        )
    }

    /** Adds [crash], which may be one that another call or another node has noticed already. */
    private fun adding(crash: PartCrash): PartHistory {
        val known = crashes.firstOrNull {
            it.upstream == crash.upstream && (it.at - crash.at).absoluteValue < SAME_CRASH
        }
        if (known != null && known.parts.containsAll(crash.parts)) return this
        val merged = when (known) {
            null -> crash
            else -> known.copy(parts = (known.parts + crash.parts).distinct().toPersistentList())
        }
        val others = if (known == null) crashes else crashes.remove(known)
        return copy(crashes = others.add(merged).sortedBy { it.at }.toPersistentList())
    }

    private fun withPeerAnswer(part: PromptPartId, at: Duration): PartHistory {
        val known = answers[part]
        if (known != null && at < known.at + SAME_CRASH) return this
        val isOutdated = blocked[part]?.let { it < at } == true
        return copy(
            answers = answers.put(part, PartAnswer(at, isOwn = false)),
            blocked = if (isOutdated) blocked.remove(part) else blocked,
        )
    }

    private fun withPeerBlock(part: PromptPartId, at: Duration): PartHistory {
        val isAnswered = answers[part]?.let { it.at > at } == true
        return if (part in blocked || isAnswered) this else copy(blocked = blocked.put(part, at))
    }

    private fun withDisputes(report: PartReport, now: Duration): PartHistory {
        val suspected = report.crashes.flatMap { it.parts } + report.blockedAges.keys
        val own = suspected.map(::PromptPartId).filter { answers[it]?.isOwn == true }
        if (own.isEmpty()) return this
        val latest = (disputed + own.associateWith { now }).entries
            .sortedBy { it.value }.takeLast(MAX_DISPUTED)
        return copy(disputed = latest.associate { it.toPair() }.toPersistentMap())
    }

    private fun pruned(now: Duration): PartHistory = copy(
        crashes = crashes.filter { now - it.at < RETENTION }.takeLast(MAX_CRASHES)
            .toPersistentList(),
        blocked = blocked.entries.filter { now - it.value < BLOCK_TIME }
            .sortedBy { it.value }.takeLast(MAX_BLOCKED)
            .associate { it.toPair() }.toPersistentMap(),
    )

    /** Blocks parts until the crashes that no blocked part explains fall below the limits. */
    private fun withBlocks(now: Duration): PartHistory {
        val unexplained = crashes.filter { crash -> crash.parts.none { it in blocked } }
        val suspects = unexplained.flatMap { it.parts }.distinct()
            .map { part -> part to unexplained.filter { it.counts(part) } }
            .filter { (part, counted) -> isOverLimit(part, counted, now) }
        // Of two parts with the same crashes, the later one is in fewer prompts.
        val (part, counted) = suspects.reversed().maxByOrNull { it.second.size } ?: return this
        return copy(blocked = blocked.put(part, counted.last().at)).withBlocks(now)
    }

    private fun PartCrash.counts(part: PromptPartId): Boolean =
        part in parts && answers[part]?.let { it.at >= at } != true

    private fun isOverLimit(part: PromptPartId, counted: List<PartCrash>, now: Duration): Boolean {
        val limit = if (part in answers) MAX_CRASHES_AFTER_ANSWER else MAX_CRASHES_BEFORE_ANSWER
        return counted.size >= limit && now - counted.last().at < BLOCK_TIME
    }

    private fun latestHalf(all: PersistentMap<PromptPartId, PartAnswer>) =
        all.entries.sortedBy { it.value.at }.takeLast(MAX_ANSWERS / 2)
            .associate { it.toPair() }.toPersistentMap()

    private companion object {
        /** Crashes from which on a part is blocked that was never answered. */
        const val MAX_CRASHES_BEFORE_ANSWER = 3

        /** The same limit for crashes since the last answer to the part. */
        const val MAX_CRASHES_AFTER_ANSWER = 6
        const val MAX_CRASHES = 16
        const val MAX_REPORTED = 8
        const val MAX_BLOCKED = 64
        const val MAX_DISPUTED = 16
        const val MAX_ANSWERS = 4096

        /** How long after its last crash a part is blocked; one further crash blocks it again. */
        val BLOCK_TIME = 10.minutes
        val RETENTION = 60.minutes

        /** How long other nodes are told of a crash or a dispute. */
        val REPORT_TIME = 15.seconds

        /**
         * Crashes of one upstream within this time are the same one: nodes notice them at different
         * moments, and an upstream takes longer to restart.
         */
        val SAME_CRASH = 2.seconds
    }
}

private fun Duration.toMillis(): Int = inWholeMilliseconds.toInt()
