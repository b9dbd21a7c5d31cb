package org.bilberrycart.gateway.discovery

import kotlin.time.Duration

/**
 * A call to the store that has not been answered.
 *
 * @property number distinguishes the call from the earlier ones about the same table.
 * @property startsAt when the call is made.
 * @property wait how long the store may hold the call until there are changes.
 * @property patience how long the answer may take beyond [wait].
 * @property after the version after which changes were requested; null for a read.
 */
public data class PendingCall(
    val number: Long,
    val startsAt: Duration,
    val wait: Duration,
    val patience: Duration,
    val after: StoreVersion?,
) {
    /** When the call is given up. */
    val dueAt: Duration
        get() = startsAt + wait + patience
}
