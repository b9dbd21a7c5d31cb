package org.bilberrycart.standins.platform

import kotlin.time.Duration

/** Completes the exchange [exchangeId] with [reply] after [delay]. */
data class StandInAction(
    val exchangeId: Long,
    val reply: StandInReply,
    val delay: Duration = Duration.ZERO,
)
