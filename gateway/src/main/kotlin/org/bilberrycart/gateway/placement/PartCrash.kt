package org.bilberrycart.gateway.placement

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import org.bilberrycart.gateway.model.PromptPartId
import org.bilberrycart.gateway.model.UpstreamId

/**
 * The crash of [upstream] just after it began to answer.
 *
 * @property at when the crash was first noticed.
 * @property parts the shared prompt parts of the calls that it had just begun to answer, in order.
 */
public data class PartCrash(
    val upstream: UpstreamId,
    val at: Duration,
    val parts: PersistentList<PromptPartId>,
)
