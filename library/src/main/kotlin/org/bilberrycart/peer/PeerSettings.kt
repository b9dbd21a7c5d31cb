package org.bilberrycart.peer

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.membership.Member

/**
 * The settings of the links between this node and its peers.
 *
 * @property self this node; port 0 binds any free port.
 * @property secret the shared secret of the fleet, at least [MIN_SECRET_CHARS] characters.
 * @property maxFrameBytes the largest accepted frame in bytes; a larger one closes its link.
 * @property outboundCapacity the number of messages that may be queued on one link; one more closes
 *   the link.
 * @property heartbeatInterval how long this node sends nothing before it sends a heartbeat.
 * @property silenceTimeout how long nothing may arrive before a link counts as half-open and is
 *   closed.
 * @property idleTimeout how long a link without messages stays open.
 * @property dialTimeout how long opening a connection may take.
 * @property handshakeTimeout how long the handshake on a new connection may take.
 */
public data class PeerSettings(
    val self: Member,
    val secret: String,
    val maxFrameBytes: Int = DEFAULT_MAX_FRAME_BYTES,
    val outboundCapacity: Int = 1024,
    val heartbeatInterval: Duration = 500.milliseconds,
    val silenceTimeout: Duration = 2.seconds,
    val idleTimeout: Duration = 5.seconds,
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
