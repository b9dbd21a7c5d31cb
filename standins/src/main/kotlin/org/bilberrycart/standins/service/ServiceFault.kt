package org.bilberrycart.standins.service

import kotlin.time.Duration

/** A fault that a test brings about. */
sealed class ServiceFault {
    /** Reset all connections, drop the running calls and refuse everything. */
    data object Die : ServiceFault()

    /** Come back with the next incarnation; bookings and counts are kept. */
    data object Restart : ServiceFault()

    /** Hang everything. */
    data object Pause : ServiceFault()

    /** End [Pause]. */
    data object Resume : ServiceFault()

    /** Open connections go silent for good; new ones work. */
    data object Silence : ServiceFault()

    /** Take no new calls and say so. */
    data object Leave : ServiceFault()

    /** Each call takes [extra] longer from now on. */
    data class Slow(val extra: Duration) : ServiceFault()

    /** Reset the connection of the next [count] calls at [point]. */
    data class ResetCalls(val point: ResetPoint, val count: Int) : ServiceFault()
}

/** When the connection of a call is reset. */
enum class ResetPoint {
    /** Before the call runs; it has no effect. */
    BEFORE,

    /** As soon as the call took effect, half way through its time. */
    DURING,

    /** After the call took effect, in place of the answer. */
    AFTER,
}
