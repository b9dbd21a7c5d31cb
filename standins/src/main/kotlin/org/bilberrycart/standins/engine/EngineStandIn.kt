package org.bilberrycart.standins.engine

import org.bilberrycart.pipeline.Clock
import org.bilberrycart.pipeline.Ring
import org.bilberrycart.standins.http.HostSettings
import org.bilberrycart.standins.http.StandInHost
import org.bilberrycart.standins.pipeline.Mailboxes
import org.bilberrycart.standins.pipeline.TimedDuty

/** An emulated model engine that serves its HTTP protocol on loopback. */
class EngineStandIn(
    val settings: EngineSettings = EngineSettings(),
    observer: TokenObserver = TokenObserver.None,
) : AutoCloseable {
    private val clock = Clock()
    private val mailboxes = Mailboxes<EngineReply>(MAILBOX_CAPACITY)
    private val ring = Ring<EngineEvent>("engine", RING_CAPACITY)
    private val duty: TimedDuty<EngineState, EngineEvent, EngineAction> = TimedDuty(
        name = "engine",
        ring = ring,
        initial = EngineState(settings),
        filter = EngineFilter,
        clock = clock,
        sink = EngineSink(mailboxes) { host },
    )
    private val host: StandInHost = StandInHost(
        HostSettings(settings.host, settings.port, settings.controlPort, settings.threads),
    ) { gate -> EngineHttp(ring, mailboxes, gate, clock, observer) { duty.snapshot }.handler() }

    /** The port that serves the protocol. */
    val port: Int
        get() = host.port

    /** The port that takes `/standin` requests even while the engine is dead. */
    val controlPort: Int
        get() = host.controlPort

    /** Starts the duty and the server. */
    fun start(): EngineStandIn = apply {
        duty.start()
        host.start()
    }

    /** Injects [fault] and returns when it is in force. */
    fun injectFault(fault: EngineFault): Unit = mailboxes.use { id, reply ->
        ring.put(EngineEvent.FaultInjected(fault, ReaderId(id)))
        reply.takeAll(limit = 1)
    }

    /** Returns the current state in the form of `GET /v1/state`. */
    fun state(): EngineStateBody = duty.snapshot.toBody()

    override fun close() {
        duty.close()
        mailboxes.closeAll()
        host.close()
    }

    private companion object {
        const val RING_CAPACITY = 8_192
        const val MAILBOX_CAPACITY = 256
    }
}
