package org.bilberrycart.gateway.placement

import kotlin.time.Duration
import org.bilberrycart.gateway.model.UpstreamId

/**
 * One sending of a call that is under way.
 *
 * @property heardAt when the upstream last sent something for it; the time of sending before that.
 * @property hasEvents whether an event of its stream has come.
 * @property isRepeat whether it was counted as a repeat.
 * @property backup the upstream that receives a copy of its memory, if any.
 */
public data class Attempt(
    val number: Int,
    val upstream: UpstreamId,
    val sentAt: Duration,
    val heardAt: Duration = sentAt,
    val hasEvents: Boolean = false,
    val isRepeat: Boolean = false,
    val backup: UpstreamId? = null,
)
