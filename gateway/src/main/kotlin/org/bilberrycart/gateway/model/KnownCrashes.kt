package org.bilberrycart.gateway.model

import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * What a node knows of calls and prompt parts that crash upstreams.
 *
 * @property calls the names of the crashes under calls of one content, by its fingerprint.
 * @property parts what is known of prompt parts; its ages are those at the time of this report.
 */
@Serializable
public data class KnownCrashes(
    @CborLabel(label = 1) val calls: Map<Long, Set<String>> = emptyMap(),
    @CborLabel(label = 2) val parts: PartReport = PartReport(),
) {
    /** Whether nothing is known. */
    public val isEmpty: Boolean
        get() = calls.isEmpty() && parts.isEmpty

    /** Whether [other] tells of the same crashes and parts, whatever their ages. */
    public fun hasSameSubjects(other: KnownCrashes): Boolean =
        calls == other.calls && parts.hasSameSubjects(other.parts)
}
