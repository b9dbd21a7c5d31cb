package org.bilberrycart.gateway.placement

import kotlin.time.Duration
import org.bilberrycart.gateway.model.AttemptKey
import org.bilberrycart.gateway.model.RoutedCall
import org.bilberrycart.gateway.model.UpstreamEntry

/**
 * The order to send [call] to [upstream].
 *
 * @property timeLeft how long the upstream may work.
 * @property backup the upstream that shall receive a copy of the run's memory.
 * @property resumesFrom the copy that the run goes on from, held by [upstream].
 * @property load how much work [upstream] was believed to have.
 * @property usable among how many upstreams it was chosen.
 * @property isUrgent whether it goes before the work that waits there.
 */
public data class SendOrder(
    val attempt: AttemptKey,
    val call: RoutedCall,
    val upstream: UpstreamEntry,
    val timeLeft: Duration,
    val backup: UpstreamEntry? = null,
    val resumesFrom: MemoryCopy? = null,
    val load: Double = 0.0,
    val usable: Int = 1,
    val isUrgent: Boolean = false,
)
