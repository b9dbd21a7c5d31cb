package org.bilberrycart.suspect

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.bilberrycart.model.Fingerprint

/** An upstream that died [at] a time, and the requests that it ran then. */
public data class UpstreamDeath(
    val at: Duration,
    val fingerprints: PersistentSet<Fingerprint> = persistentSetOf(),
)
