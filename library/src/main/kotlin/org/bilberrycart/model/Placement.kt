package org.bilberrycart.model

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf

/**
 * An attempt that waits for routing to place it on an upstream.
 *
 * @property prefix the tokens generated so far, after which the upstream continues.
 * @property avoid the upstreams on which an earlier attempt of this request was lost.
 * @property isolation how far the attempt is kept apart from other work.
 */
public data class Placement(
    val attempt: AttemptId,
    val request: Request,
    val prefix: PersistentList<Token> = persistentListOf(),
    val avoid: PersistentSet<UpstreamId> = persistentSetOf(),
    val isolation: Isolation = Isolation.NONE,
)
