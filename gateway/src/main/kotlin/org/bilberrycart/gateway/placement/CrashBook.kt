package org.bilberrycart.gateway.placement

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.bilberrycart.gateway.model.CallFingerprint
import org.bilberrycart.gateway.model.UpstreamId

/**
 * Which upstreams broke off when they began a call, by the call's content.
 *
 * A call that kills its upstream does so before the first sign of an answer, and comes again under
 * another id. Calls that were merely there when an upstream died rarely begin at four that die.
 *
 * @property own strikes seen by this node.
 * @property told upstreams that other nodes name, as they last said.
 */
public data class CrashBook(
    val own: PersistentMap<CallFingerprint, Strikes> = persistentMapOf(),
    val told: PersistentMap<CallFingerprint, Set<UpstreamId>> = persistentMapOf(),
) {
    /** Whether nothing is known of any call. */
    public val isEmpty: Boolean
        get() = own.isEmpty() && told.isEmpty()

    /** Returns how many upstreams broke off calls of this content, over all nodes. */
    public fun strikes(content: CallFingerprint): Int {
        val known = own[content]
        val others = if (known?.isCleared == true) emptySet() else told[content].orEmpty()
        return (known?.upstreams?.keys.orEmpty() + others).size
    }

    /** Whether calls of this content may begin at another upstream. */
    public fun allows(content: CallFingerprint): Boolean = strikes(content) < MAX_STRIKES

    /** Returns the book after [upstream] broke off a call of this content at [now]. */
    public fun struck(content: CallFingerprint, upstream: UpstreamId, now: Duration): CrashBook {
        val known = own[content] ?: Strikes()
        val kept = own.put(content, known.with(upstream, now))
            .filterValues { now - it.newest < LIFE }
            .entries.sortedBy { it.value.newest }.takeLast(MAX_CONTENTS)
            .associate { it.toPair() }
        return copy(own = kept.toPersistentMap())
    }

    /** Returns the book after an upstream began to answer a call of this content. */
    public fun answered(content: CallFingerprint, now: Duration): CrashBook = when (content) {
        in own, in told -> copy(own = own.put(content, Strikes(isCleared = true, newest = now)))
        else -> this
    }

    /** Returns the strikes that other nodes should hear of: the newest. */
    public fun toTell(): Map<CallFingerprint, Set<UpstreamId>> = own.entries
        .filter { it.value.upstreams.isNotEmpty() }
        .sortedBy { it.value.newest }.takeLast(MAX_TOLD)
        .associate { (content, strikes) -> content to strikes.upstreams.keys }

    private companion object {
        /** Losses of different upstreams at which a call is taken for their cause. */
        const val MAX_STRIKES = 4
        const val MAX_CONTENTS = 64
        const val MAX_TOLD = 8
        val LIFE = 10.minutes
    }
}
