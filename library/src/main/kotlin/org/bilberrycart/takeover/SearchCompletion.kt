package org.bilberrycart.takeover

import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.model.Lineage
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.ResultCode
import org.bilberrycart.pipeline.Step
import org.bilberrycart.takeover.TakeoverState.Search

/**
 * Ends the search: connects each waiting caller whose position lies on the generation of [size]
 * tokens and [lineage], and refuses the others.
 */
internal fun finish(
    state: TakeoverState,
    request: RequestId,
    search: Search,
    lineage: Lineage,
    size: Int,
): Step<TakeoverState, TakeoverAction> {
    val actions = search.callers.map { waiting ->
        val after = waiting.after
        val isMismatch = after != null &&
            (after.index >= size || !lineage.contains(after.epoch, after.index))
        if (isMismatch) {
            TakeoverAction.Refuse(waiting.caller, request, ResultCode.LINEAGE_MISMATCH)
        } else {
            TakeoverAction.Reconnect(
                waiting.caller,
                request,
                search.organisation,
                waiting.after,
            )
        }
    }
    return Step(
        state.copy(searches = state.searches.remove(request)),
        actions.toPersistentList(),
    )
}

/** Ends the search and refuses each waiting caller with [code]. */
internal fun refuseAll(
    state: TakeoverState,
    request: RequestId,
    search: Search,
    code: ResultCode,
): Step<TakeoverState, TakeoverAction> = Step(
    state.copy(searches = state.searches.remove(request)),
    search.callers.map { TakeoverAction.Refuse(it.caller, request, code) }.toPersistentList(),
)
