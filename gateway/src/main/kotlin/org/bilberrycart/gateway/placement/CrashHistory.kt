package org.bilberrycart.gateway.placement

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.bilberrycart.gateway.model.CallFingerprint

/**
 * Upstreams whose connection broke before they began to answer a call, by the call's content.
 *
 * A call that crashes its upstream does so before the first part of an answer, and callers send it
 * again under another request id. A call that is merely in progress when an upstream crashes rarely
 * meets three crashes in a row. An upstream that has crashed, restarted and crashed again counts
 * twice: a service may have few upstreams.
 *
 * @property local the crashes that this node has seen.
 * @property reported the crashes that other nodes named in their latest gossip.
 * @property recalled the crashes that processes have recorded in the store, which may have ended.
 */
public data class CrashHistory(
    val local: PersistentMap<CallFingerprint, CrashRecord> = persistentMapOf(),
    val reported: PersistentMap<CallFingerprint, Set<UpstreamCrash>> = persistentMapOf(),
    val recalled: PersistentMap<CallFingerprint, Set<UpstreamCrash>> = persistentMapOf(),
) {
    /** Whether no crash and no answer is recorded. */
    public val isEmpty: Boolean
        get() = local.isEmpty() && reported.isEmpty() && recalled.isEmpty()

    /** Returns how often upstreams crashed lately on calls with this content, over all nodes. */
    public fun crashCount(content: CallFingerprint, now: Duration): Int = crashes(content, now).size

    private fun crashes(content: CallFingerprint, now: Duration): Set<UpstreamCrash> {
        val known = local[content]?.takeIf { isKept(it, now) }
        val own = known?.crashes?.keys.orEmpty()
        return when (known?.isCleared) {
            true -> own
            else -> own + reported[content].orEmpty() + recalled[content].orEmpty()
        }
    }

    /** Whether calls with this content may be sent to another upstream at [now]. */
    public fun allows(content: CallFingerprint, now: Duration): Boolean =
        crashCount(content, now) < MAX_CRASHES

    /** Returns the history after [run] crashed at [now] on a call with this content. */
    public fun withCrash(content: CallFingerprint, run: Incarnation, now: Duration): CrashHistory {
        val known = local[content]?.takeIf { isKept(it, now) } ?: CrashRecord()
        val retained = local.put(content, known.withCrash(run, now))
            .filterValues { isKept(it, now) }
            .entries.sortedBy { it.value.updatedAt }.takeLast(MAX_CONTENTS)
            .associate { it.toPair() }
        return copy(local = retained.toPersistentMap())
    }

    /** Returns the history after an upstream began to answer a call with this content. */
    public fun withAnswer(content: CallFingerprint, now: Duration): CrashHistory = when (content) {
        in local, in reported, in recalled -> copy(
            local = local.put(content, CrashRecord(isCleared = true, updatedAt = now)),
        )
        else -> this
    }

    /** Returns the most recent crashes at [now], for the gossip to other nodes. */
    public fun toGossip(now: Duration): Map<CallFingerprint, Set<UpstreamCrash>> = local.entries
        .filter { it.value.crashes.isNotEmpty() && isKept(it.value, now) }
        .sortedBy { it.value.updatedAt }.takeLast(MAX_GOSSIPED)
        .associate { (content, record) -> content to record.crashes.keys }

    /** Returns the repeated crashes that this node has a part in, for its record in the store. */
    public fun toRecord(now: Duration): Map<CallFingerprint, Set<UpstreamCrash>> = local.entries
        .filter { it.value.crashes.isNotEmpty() && isKept(it.value, now) }
        .sortedBy { it.value.updatedAt }
        .associate { (content, _) -> content to crashes(content, now) }
        .filterValues { it.size >= MIN_RECORDED }
        .entries.toList().takeLast(MAX_RECORDED).associate { it.toPair() }

    private fun isKept(record: CrashRecord, now: Duration): Boolean =
        now - record.updatedAt < RETENTION

    private companion object {
        /**
         * Number of crashes from which on a call counts as their cause. No further try is allowed,
         * since each node and each hedge would take it for itself.
         */
        const val MAX_CRASHES = 3
        const val MAX_CONTENTS = 64
        const val MAX_GOSSIPED = 8

        /** Fewer crashes say little: a call may be in progress when its upstream crashes. */
        const val MIN_RECORDED = 2
        const val MAX_RECORDED = 32
        val RETENTION = 10.minutes
    }
}
