package org.bilberrycart.takeover

import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.model.Lineage
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.ResultCode
import org.bilberrycart.pipeline.Step
import org.bilberrycart.takeover.TakeoverState.Search

/** Hands each caller over whose position lies on the generation, and refuses the others. */
internal fun finish(
    state: TakeoverState,
    request: RequestId,
    search: Search,
    lineage: Lineage,
    size: Int,
): Step<TakeoverState, TakeoverAction> {
    val actions = search.callers.map { waiting ->
        val after = waiting.after
        val isOff = after != null &&
            (after.index >= size || !lineage.contains(after.epoch, after.index))
        if (isOff) {
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

/** Gives each waiting caller [code] and no tokens. */
internal fun refuseAll(
    state: TakeoverState,
    request: RequestId,
    search: Search,
    code: ResultCode,
): Step<TakeoverState, TakeoverAction> = Step(
    state.copy(searches = state.searches.remove(request)),
    search.callers.map { TakeoverAction.Refuse(it.caller, request, code) }.toPersistentList(),
)
