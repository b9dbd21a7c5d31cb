package org.bilberrycart.peer

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.membership.Member

/**
 * How this node talks to the others.
 *
 * @property self this node; port 0 binds any free port.
 * @property secret the shared secret of the fleet, at least [MIN_SECRET_CHARS] characters.
 * @property maxFrameBytes the largest frame in bytes; a larger one closes its link.
 * @property outboundCapacity messages that wait on one link; one more closes the link.
 * @property heartbeat how long a link may be quiet before an empty frame is sent.
 * @property silenceLimit how long a link may be silent before it counts as half-open.
 * @property idleLimit how long a link without messages stays open.
 */
public data class PeerSettings(
    val self: Member,
    val secret: String,
    val maxFrameBytes: Int = DEFAULT_MAX_FRAME_BYTES,
    val outboundCapacity: Int = 1024,
    val heartbeat: Duration = 500.milliseconds,
    val silenceLimit: Duration = 2.seconds,
    val idleLimit: Duration = 5.seconds,
    val dialTimeout: Duration = 1.seconds,
    val handshakeTimeout: Duration = 1.seconds,
) {
    init {
        require(secret.length >= MIN_SECRET_CHARS) {
            "the peer secret must have at least $MIN_SECRET_CHARS characters, has ${secret.length}"
        }
    }

    private companion object {
        const val MIN_SECRET_CHARS = 16
        const val DEFAULT_MAX_FRAME_BYTES = 4 * 1024 * 1024
    }

    override fun toString(): String = "PeerSettings(self=$self)"
}
