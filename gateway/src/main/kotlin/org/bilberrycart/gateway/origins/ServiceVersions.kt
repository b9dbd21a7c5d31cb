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
 * @property mixedSince since when several versions have served; null if they don't.
 * @property mixedAt when several versions were last listed; null if they never were.
 */
public data class ServiceVersions(
    val listed: PersistentSet<String> = persistentSetOf(),
    val alone: String? = null,
    val before: String? = null,
    val mixedSince: Duration? = null,
    val mixedAt: Duration? = null,
) {
    /** Whether callers may still resume streams of several versions at [now]. */
    public fun isMixed(now: Duration): Boolean = mixedAt != null && now - mixedAt < MEMORY

    /**
     * Returns the version at which a stream began that no record names, at [now]; null if unknown.
     *
     * Once several versions have served for long, callers don't resume streams from before that.
     */
    public fun unrecordedVersion(now: Duration): String? =
        before.takeIf { mixedSince != null && now - mixedSince < MEMORY }

    /** Returns these after the registry listed [versions] at [now]. */
    internal fun listing(versions: PersistentSet<String>, now: Duration): ServiceVersions =
        copy(listed = versions).at(now)

    /** Returns these at [now], which may end the time in which several versions serve. */
    internal fun at(now: Duration): ServiceVersions = when {
        listed.size > 1 && isMixed(now) -> copy(alone = null, mixedAt = now)
        listed.size > 1 -> copy(alone = null, before = alone, mixedSince = now, mixedAt = now)
        isMixed(now) || listed.isEmpty() -> this
        else -> copy(alone = listed.single(), before = null, mixedSince = null, mixedAt = null)
    }

    /**
     * Returns these after another node recorded that several versions served from [recordedSince]
     * until [recordedAt].
     */
    internal fun recorded(
        versionBefore: String?,
        recordedSince: Duration,
        recordedAt: Duration,
    ): ServiceVersions = copy(
        alone = null,
        before = before ?: versionBefore,
        mixedSince = minOf(mixedSince ?: recordedSince, recordedSince),
        mixedAt = maxOf(mixedAt ?: recordedAt, recordedAt),
    )

    /** Holds a limit. */
    public companion object {
        /** For how long after its begin callers may resume a stream. */
        public val MEMORY: Duration = 40.seconds
    }
}
