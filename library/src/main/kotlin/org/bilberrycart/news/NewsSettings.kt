package org.bilberrycart.news

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * The timing and bounds of news.
 *
 * @property gossipPeriod time between two rounds while there is something to spread.
 * @property fanout members told in one round.
 * @property retransmissions rounds in which one item is sent, times log2 of the fleet's size.
 * @property itemsPerMessage the largest number of items in one message.
 * @property repairPeriod time between two messages that repeat items already spread.
 * @property crashRetention how long a request that crashed engines is remembered.
 * @property leavingRetention how long a leaving upstream is remembered.
 * @property useRetention how long a report of use counts.
 * @property itemCapacity items kept; further ones of unknown subjects are not taken in.
 */
public data class NewsSettings(
    val gossipPeriod: Duration = 100.milliseconds,
    val fanout: Int = 3,
    val retransmissions: Int = 2,
    val itemsPerMessage: Int = 16,
    val repairPeriod: Duration = 5.seconds,
    val crashRetention: Duration = 10.minutes,
    val leavingRetention: Duration = 1.hours,
    val useRetention: Duration = 12.seconds,
    val itemCapacity: Int = 4_096,
)
