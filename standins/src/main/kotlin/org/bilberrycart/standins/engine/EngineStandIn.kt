package org.bilberrycart.standins.engine

import org.bilberrycart.pipeline.Clock
import org.bilberrycart.pipeline.Ring
import org.bilberrycart.standins.http.HangGate
import org.bilberrycart.standins.http.StandInServer
import org.bilberrycart.standins.pipeline.Mailboxes
import org.bilberrycart.standins.pipeline.TimedDuty

/** An emulated model engine that serves its HTTP protocol on loopback. */
class EngineStandIn(val settings: EngineSettings = EngineSettings()) : AutoCloseable {
    private val clock = Clock()
    private val gate = HangGate()
    private val mailboxes = Mailboxes<EngineReply>(MAILBOX_CAPACITY)
    private val ring = Ring<EngineEvent>("engine", RING_CAPACITY)
    private val duty: TimedDuty<EngineState, EngineEvent, EngineAction> = TimedDuty(
        name = "engine",
        ring = ring,
        initial = EngineState(settings),
        filter = EngineFilter,
        clock = clock,
        sink = EngineSink(mailboxes, gate) { server },
    )
    private val http = EngineHttp(ring, mailboxes, gate, clock) { duty.snapshot }
    private val server: StandInServer = StandInServer(
        host = settings.host,
        port = settings.port,
        controlPort = settings.controlPort,
        threads = settings.threads,
        handler = http.handler(),
    )

    /** The port that serves the protocol. */
    val port: Int
        get() = server.port

    /** The port that takes `/standin` requests even while the engine is dead. */
    val controlPort: Int
        get() = server.controlPort

    /** Starts to serve. */
    fun start(): EngineStandIn = apply {
        duty.start()
        server.start()
    }

    /** Brings [fault] about and returns when it is in force. */
    fun fault(fault: EngineFault) {
        val id = mailboxes.open()
        val reply = mailboxes[id]
        ring.put(EngineEvent.Faulted(fault, ReaderId(id)))
        reply?.takeAll(limit = 1)
        mailboxes.close(id)
    }

    /** Returns what the engine says of itself now. */
    fun state(): EngineStateBody = duty.snapshot.toBody()

    override fun close() {
        duty.close()
        gate.close()
        mailboxes.closeAll()
        server.close()
    }

    private companion object {
        const val RING_CAPACITY = 8_192
        const val MAILBOX_CAPACITY = 256
    }
}
