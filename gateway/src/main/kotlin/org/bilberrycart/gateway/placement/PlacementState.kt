package org.bilberrycart.gateway.placement

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.bilberrycart.gateway.model.CallKey
import org.bilberrycart.gateway.model.ServiceName
import org.bilberrycart.gateway.model.UpstreamId

/**
 * Everything that placement knows: upstreams, calls under way and the use of the budget.
 *
 * @property crashes calls that upstreams broke off when they began them.
 * @property former upstreams that have left, the latest last.
 * @property share the upstreams that this node prefers, so that others choose other ones.
 * @property nodes how many nodes share the repeat budget; null before any other was heard.
 */
public data class PlacementState(
    val upstreams: PersistentMap<UpstreamId, UpstreamView> = persistentMapOf(),
    val calls: PersistentMap<CallKey, CallState> = persistentMapOf(),
    val budgets: PersistentMap<ServiceName, RepeatBudget> = persistentMapOf(),
    val crashes: CrashBook = CrashBook(),
    val former: PersistentList<UpstreamId> = persistentListOf(),
    val share: NodeShare = NodeShare(),
    val nodes: Int? = null,
    val seed: Long = 1,
) {
    /** The work of this node at each upstream, as [CallState.loadOf] weighs it. */
    public fun loads(): Map<UpstreamId, Int> = calls.values
        .flatMap { call -> call.attempts.values.map { it.upstream to call.loadOf(it) } }
        .groupingBy { it.first }.fold(0) { sum, (_, load) -> sum + load }

    internal fun with(view: UpstreamView): PlacementState =
        copy(upstreams = upstreams.put(view.entry.id, view))

    internal fun with(call: CallState): PlacementState =
        copy(calls = calls.put(call.call.key, call))

    internal fun update(id: UpstreamId?, change: (UpstreamView) -> UpstreamView): PlacementState =
        upstreams[id]?.let { with(change(it)) } ?: this
}
