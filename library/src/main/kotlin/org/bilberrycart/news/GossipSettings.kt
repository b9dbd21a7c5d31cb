package org.bilberrycart.news

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * The timing and limits of gossip.
 *
 * @property gossipInterval the time between two gossip rounds while there are items to send.
 * @property fanout the number of members that receive the items of one round.
 * @property retransmissions the number of rounds in which one item is sent; multiplied by log2 of
 *   the size of the fleet.
 * @property itemsPerMessage the largest number of items in one message.
 * @property antiEntropyInterval the time between two messages that resend random known items.
 * @property crashRetention how long a request that crashed engines is remembered.
 * @property leavingRetention how long a leaving upstream is remembered.
 * @property usageRetention how long a usage report is included in the sums.
 * @property itemCapacity the largest number of items kept; further items are dropped unless their
 *   subject is known.
 */
public data class GossipSettings(
    val gossipInterval: Duration = 100.milliseconds,
    val fanout: Int = 3,
    val retransmissions: Int = 2,
    val itemsPerMessage: Int = 16,
    val antiEntropyInterval: Duration = 5.seconds,
    val crashRetention: Duration = 10.minutes,
    val leavingRetention: Duration = 1.hours,
    val usageRetention: Duration = 12.seconds,
    val itemCapacity: Int = 4_096,
)
