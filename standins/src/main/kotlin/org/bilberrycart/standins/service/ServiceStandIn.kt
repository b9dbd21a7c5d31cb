package org.bilberrycart.standins.service

import org.bilberrycart.pipeline.Clock
import org.bilberrycart.pipeline.Ring
import org.bilberrycart.pipeline.Sink
import org.bilberrycart.standins.http.HostSettings
import org.bilberrycart.standins.http.StandInHost
import org.bilberrycart.standins.pipeline.Mailboxes
import org.bilberrycart.standins.pipeline.TimedDuty

/** An emulated plain service that serves its HTTP protocol on loopback. */
class ServiceStandIn(val settings: StandInServiceSettings = StandInServiceSettings()) :
    AutoCloseable {
    private val clock = Clock()
    private val mailboxes = Mailboxes<ServiceReply>(MAILBOX_CAPACITY)
    private val ring = Ring<ServiceEvent>("service", RING_CAPACITY)
    private val duty: TimedDuty<ServiceState, ServiceEvent, ServiceAction> = TimedDuty(
        name = "service",
        ring = ring,
        initial = ServiceState(settings),
        filter = ServiceFilter,
        clock = clock,
        sink = Sink(::execute),
    )
    private val host: StandInHost = StandInHost(
        HostSettings(settings.host, settings.port, settings.controlPort, settings.threads),
    ) { gate -> ServiceHttp(ring, mailboxes, gate, clock) { duty.snapshot }.handler() }

    /** The port that serves the protocol. */
    val port: Int
        get() = host.port

    /** The port that takes `/standin` requests even while the service is dead. */
    val controlPort: Int
        get() = host.controlPort

    /** Starts the duty and the server. */
    fun start(): ServiceStandIn = apply {
        duty.start()
        host.start()
    }

    /** Injects [fault] and returns when it is in force. */
    fun injectFault(fault: ServiceFault): Unit = mailboxes.use { id, reply ->
        ring.put(ServiceEvent.FaultInjected(fault, CallId(id)))
        reply.takeAll(limit = 1)
    }

    /** Returns the execution counts of all calls. */
    fun executions(): ExecutionsBody = duty.snapshot.toExecutionsBody()

    override fun close() {
        duty.close()
        mailboxes.closeAll()
        host.close()
    }

    private fun execute(action: ServiceAction) = when (action) {
        is ServiceAction.Send -> mailboxes.send(action.id.value, action.reply)
        is ServiceAction.Close -> mailboxes.close(action.id.value)
        is ServiceAction.Host -> host.accept(action.action)
    }

    private companion object {
        const val RING_CAPACITY = 4_096
        const val MAILBOX_CAPACITY = 1
    }
}
