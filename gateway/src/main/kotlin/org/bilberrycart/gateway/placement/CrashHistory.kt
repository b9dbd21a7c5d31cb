package org.bilberrycart.gateway.placement

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.bilberrycart.gateway.model.CallFingerprint
import org.bilberrycart.gateway.model.UpstreamId

/**
 * Upstreams whose connection broke before they began to answer a call, by the call's content.
 *
 * A call that crashes its upstream does so before the first part of an answer, and callers send it
 * again under another request id. A call that is merely in progress when an upstream crashes rarely
 * meets four crashing upstreams in a row.
 *
 * @property local the crashes that this node has seen.
 * @property reported the upstreams that other nodes named in their latest gossip.
 */
public data class CrashHistory(
    val local: PersistentMap<CallFingerprint, CrashRecord> = persistentMapOf(),
    val reported: PersistentMap<CallFingerprint, Set<UpstreamId>> = persistentMapOf(),
) {
    /** Whether no crash and no answer is recorded. */
    public val isEmpty: Boolean
        get() = local.isEmpty() && reported.isEmpty()

    /** Returns how many upstreams crashed on calls with this content, over all nodes. */
    public fun crashCount(content: CallFingerprint): Int {
        val known = local[content]
        val others = if (known?.isCleared == true) emptySet() else reported[content].orEmpty()
        return (known?.upstreams?.keys.orEmpty() + others).size
    }

    /** Whether calls with this content may be sent to another upstream. */
    public fun allows(content: CallFingerprint): Boolean = crashCount(content) < MAX_CRASHES

    /** Returns the history after [upstream] crashed on a call with this content at [now]. */
    public fun withCrash(
        content: CallFingerprint,
        upstream: UpstreamId,
        now: Duration,
    ): CrashHistory {
        val known = local[content] ?: CrashRecord()
        val retained = local.put(content, known.withCrash(upstream, now))
            .filterValues { now - it.updatedAt < RETENTION }
            .entries.sortedBy { it.value.updatedAt }.takeLast(MAX_CONTENTS)
            .associate { it.toPair() }
        return copy(local = retained.toPersistentMap())
    }

    /** Returns the history after an upstream began to answer a call with this content. */
    public fun withAnswer(content: CallFingerprint, now: Duration): CrashHistory = when (content) {
        in local, in reported -> copy(
            local = local.put(content, CrashRecord(isCleared = true, updatedAt = now)),
        )
        else -> this
    }

    /** Returns the most recent crashes, for the gossip to other nodes. */
    public fun toGossip(): Map<CallFingerprint, Set<UpstreamId>> = local.entries
        .filter { it.value.upstreams.isNotEmpty() }
        .sortedBy { it.value.updatedAt }.takeLast(MAX_GOSSIPED)
        .associate { (content, record) -> content to record.upstreams.keys }

    private companion object {
        /** Number of crashed upstreams from which on a call counts as the cause of the crashes. */
        const val MAX_CRASHES = 4
        const val MAX_CONTENTS = 64
        const val MAX_GOSSIPED = 8
        val RETENTION = 10.minutes
    }
}
