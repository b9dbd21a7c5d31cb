package org.bilberrycart.standins.service

import kotlin.time.Duration

/** A fault that a test injects into a plain service. */
sealed class ServiceFault {
    /** Resets all connections, drops all calls and refuses new connections until [Restart]. */
    data object Die : ServiceFault()

    /** Starts the service again with the next incarnation; bookings and counts are kept. */
    data object Restart : ServiceFault()

    /** Stops execution and holds all responses until [Resume]. */
    data object Pause : ServiceFault()

    /** Ends [Pause]. */
    data object Resume : ServiceFault()

    /** Holds the responses on all open connections for good; new connections work. */
    data object Silence : ServiceFault()

    /** Refuses new calls and reports that the service is leaving. */
    data object Leave : ServiceFault()

    /** Makes each call that starts from now on take [extra] longer. */
    data class Slow(val extra: Duration) : ServiceFault()

    /** Resets the connections of the next [count] calls at [point]. */
    data class ResetCalls(val point: ResetPoint, val count: Int) : ServiceFault()
}

/** When the connection of a call is reset. */
enum class ResetPoint {
    /** Before the call runs, so that it has no effect. */
    BEFORE,

    /** As soon as the call has taken effect, which is then after half of its time. */
    DURING,

    /** After the call has taken effect, instead of the answer. */
    AFTER,
}
