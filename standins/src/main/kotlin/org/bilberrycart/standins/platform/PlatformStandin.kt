package org.bilberrycart.standins.platform

import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import org.bilberrycart.pipeline.Clock
import org.bilberrycart.pipeline.Duty
import org.bilberrycart.pipeline.Ring
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.server.Http4kServer
import org.http4k.server.Jetty
import org.http4k.server.asServer

/**
 * The platform's table, object store, weight store and list of VMs in one small process.
 *
 * One duty holds the state; the threads of the HTTP server put events into its ring and wait for
 * the reply. Replies that are slow on purpose are completed by a timer, not by a sleeping thread.
 *
 * @property wantedPort the port to listen on; 0 takes a free one.
 */
class PlatformStandin(private val wantedPort: Int = 0, seed: Long = 1) : AutoCloseable {
    private val waiting = ConcurrentHashMap<Long, CompletableFuture<StandinReply>>()
    private val tickets = AtomicLong()
    private val timer = Executors.newSingleThreadScheduledExecutor()
    private val ring = Ring<StandinEvent>("platform", RING_CAPACITY)
    private val duty = Duty(
        name = "platform",
        ring = ring,
        initial = StandinState(seed = seed),
        filter = StandinFilter(),
        clock = Clock(),
        sink = ::carryOut,
    )
    private val server: Http4kServer = PlatformRoutes(
        ::exchange,
    ).handler.asServer(Jetty(wantedPort))

    /** The port that the stand-in listens on. */
    val port: Int
        get() = server.port()

    /** Starts the duty and the server. */
    fun start(): PlatformStandin = apply {
        duty.start()
        server.start()
    }

    override fun close() {
        timer.shutdownNow()
        waiting.keys.forEach { finish(it, StandinReply.Lost) }
        server.stop()
        duty.close()
    }

    /** Misbehaves as [faults] says from now on. */
    fun setFaults(faults: Faults) {
        exchange({ StandinEvent.SetFaults(it, faults) }) { Response(Status.OK) }
    }

    private fun exchange(
        event: (ticket: Long) -> StandinEvent,
        answer: (StandinReply) -> Response,
    ) = CompletableFuture<StandinReply>().let { reply ->
        val ticket = tickets.incrementAndGet()
        waiting[ticket] = reply
        ring.put(event(ticket))
        answer(reply.get())
    }

    private fun carryOut(action: StandinAction) {
        when (action.delay) {
            Duration.ZERO -> finish(action.ticket, action.reply)
            else -> timer.schedule(
                { finish(action.ticket, action.reply) },
                action.delay.inWholeMilliseconds,
                TimeUnit.MILLISECONDS,
            )
        }
    }

    private fun finish(ticket: Long, reply: StandinReply) {
        waiting.remove(ticket)?.complete(reply)
    }

    private companion object {
        const val RING_CAPACITY = 1_024
    }
}
