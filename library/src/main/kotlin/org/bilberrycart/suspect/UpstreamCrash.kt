package org.bilberrycart.suspect

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.bilberrycart.model.Fingerprint

/** The time of the crash of an upstream, and the requests known to have been running there. */
public data class UpstreamCrash(
    val at: Duration,
    val fingerprints: PersistentSet<Fingerprint> = persistentSetOf(),
)
