package org.bilberrycart.model

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf

/**
 * Work that needs an upstream.
 *
 * @property prefix the tokens that the generation already has; the upstream continues after them.
 * @property avoid upstreams that lost an earlier attempt of this request.
 * @property isolation how far it keeps away from other work.
 */
public data class Placement(
    val attempt: AttemptId,
    val request: Request,
    val prefix: PersistentList<Token> = persistentListOf(),
    val avoid: PersistentSet<UpstreamId> = persistentSetOf(),
    val isolation: Isolation = Isolation.NONE,
)
