package org.bilberrycart.pipeline

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/** The result of one decision: the next [state] and the [actions] to carry out, in order. */
public data class Step<out S, out A>(
    val state: S,
    val actions: PersistentList<A> = persistentListOf(),
)

/** Returns a step that keeps this state and asks for [actions]. */
public fun <S, A> S.withActions(vararg actions: A): Step<S, A> =
    Step(state = this, actions = persistentListOf(*actions))

/** Continues this step with [next], appending its actions after those already asked for. */
public inline fun <S, A> Step<S, A>.then(next: (S) -> Step<S, A>): Step<S, A> {
    val following = next(state)
    return Step(following.state, actions.addAll(following.actions))
}
