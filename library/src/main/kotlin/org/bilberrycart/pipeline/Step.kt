package org.bilberrycart.pipeline

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/** The result of a [Filter] call: the next [state] and the [actions] to execute, in order. */
public data class Step<out S, out A>(
    val state: S,
    val actions: PersistentList<A> = persistentListOf(),
)

/** Returns a step that keeps this state and requests [actions]. */
public fun <S, A> S.withActions(vararg actions: A): Step<S, A> =
    Step(state = this, actions = persistentListOf(*actions))

/** Returns this step continued with [next], whose actions follow those of this step. */
public inline fun <S, A> Step<S, A>.then(next: (S) -> Step<S, A>): Step<S, A> {
    val following = next(state)
    return Step(following.state, actions.addAll(following.actions))
}
