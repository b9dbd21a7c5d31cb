package org.bilberrycart.gateway.placement

import org.bilberrycart.gateway.model.UpstreamEntry
import org.bilberrycart.gateway.model.UpstreamId

/**
 * One run of an upstream's process; it may start again under the same id.
 *
 * @property startedAtMillis when it started, in Unix milliseconds; null if unknown.
 */
public data class Incarnation(val id: UpstreamId, val startedAtMillis: Long?) {
    /** Creates instances from entries of the registry. */
    public companion object {
        /** Returns the incarnation that [entry] describes. */
        public fun of(entry: UpstreamEntry): Incarnation =
            Incarnation(entry.id, entry.startedAtMillis)
    }
}
