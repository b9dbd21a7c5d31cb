package org.bilberrycart.standins.http

import org.http4k.core.HttpHandler
import org.slf4j.LoggerFactory

/** The server of a stand-in and the gate that holds its responses. */
class StandInHost(settings: HostSettings, handler: (HangGate) -> HttpHandler) : AutoCloseable {
    private val gate = HangGate()
    private val server = StandInServer(settings, handler(gate))

    /** The port that serves requests. */
    val port: Int
        get() = server.port

    /** The port that takes `/standin` requests even while the stand-in is dead. */
    val controlPort: Int
        get() = server.controlPort

    /** Starts to listen on both ports. */
    fun start() = server.start()

    /** Carries out [action]. */
    fun accept(action: HostAction) {
        log.info("event=standin_fault port={} action={}", port, action)
        when (action) {
            HostAction.Die -> {
                server.die()
                gate.reset()
            }
            HostAction.Revive -> server.revive()
            HostAction.Pause -> gate.pause()
            HostAction.Resume -> gate.resume()
            HostAction.Silence -> gate.silence(server.connections())
            is HostAction.Reset -> server.reset(action.connection)
        }
    }

    override fun close() {
        gate.close()
        server.close()
    }

    private companion object {
        val log = LoggerFactory.getLogger(StandInHost::class.java)
    }
}
