package org.bilberrycart.pipeline

/** Executes the actions of a filter; called only from the thread of its duty. */
public fun interface Sink<in A> {
    /** Executes [action]. It may wait for a ring, but never for a caller or an upstream. */
    public fun accept(action: A)
}
