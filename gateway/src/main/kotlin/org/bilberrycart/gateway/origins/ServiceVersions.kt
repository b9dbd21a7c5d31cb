package org.bilberrycart.gateway.origins

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf

/**
 * The software versions of a service.
 *
 * @property listed the versions of the upstreams that the registry lists.
 * @property alone the last version that was the only one for as long as callers resume streams.
 * @property before the version that was alone before the others came beside it; null if unknown.
 * @property mixedAt when several versions were last listed; null if they never were.
 */
public data class ServiceVersions(
    val listed: PersistentSet<String> = persistentSetOf(),
    val alone: String? = null,
    val before: String? = null,
    val mixedAt: Duration? = null,
) {
    /** Whether callers may still resume streams of several versions at [now]. */
    public fun isMixed(now: Duration): Boolean = mixedAt != null && now - mixedAt < MEMORY

    /** Returns these after the registry listed [versions] at [now]. */
    internal fun listing(versions: PersistentSet<String>, now: Duration): ServiceVersions =
        copy(listed = versions).at(now)

    /** Returns these at [now], which may end the time in which several versions serve. */
    internal fun at(now: Duration): ServiceVersions = when {
        listed.size > 1 ->
            copy(before = if (isMixed(now)) before else alone, alone = null, mixedAt = now)
        isMixed(now) || listed.isEmpty() -> this
        else -> copy(alone = listed.single(), before = null, mixedAt = null)
    }

    /** Returns these after another node recorded that several versions served at [recordedAt]. */
    internal fun recorded(versionBefore: String?, recordedAt: Duration): ServiceVersions = copy(
        alone = null,
        before = before ?: versionBefore,
        mixedAt = maxOf(mixedAt ?: recordedAt, recordedAt),
    )

    /** Holds a limit. */
    public companion object {
        /** For how long after its begin callers may resume a stream. */
        public val MEMORY: Duration = 40.seconds
    }
}
