package org.bilberrycart.standins.platform

import kotlin.time.Duration

/** End the exchange [ticket] with [reply] after [delay]. */
data class StandinAction(
    val ticket: Long,
    val reply: StandinReply,
    val delay: Duration = Duration.ZERO,
)
