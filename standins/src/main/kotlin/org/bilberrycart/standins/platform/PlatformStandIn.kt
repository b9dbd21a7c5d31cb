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
 * A stand-in for the platform's table, object store, weight store and list of VMs.
 *
 * One duty holds the state; the threads of the HTTP server put events into its ring and wait for
 * the reply. A timer completes replies that a fault delays, so that no thread sleeps.
 *
 * @property requestedPort the port to listen on; 0 for any free one.
 */
class PlatformStandIn(private val requestedPort: Int = 0, seed: Long = 1) : AutoCloseable {
    private val pendingReplies = ConcurrentHashMap<Long, CompletableFuture<StandInReply>>()
    private val lastExchangeId = AtomicLong()
    private val timer = Executors.newSingleThreadScheduledExecutor()
    private val ring = Ring<StandInEvent>("platform", RING_CAPACITY)
    private val duty = Duty(
        name = "platform",
        ring = ring,
        initial = StandInState(seed = seed),
        filter = StandInFilter(),
        clock = Clock(),
        sink = ::execute,
    )
    private val server: Http4kServer = PlatformRoutes(
        ::exchange,
    ).handler.asServer(Jetty(requestedPort))

    /** The port that the stand-in listens on. */
    val port: Int
        get() = server.port()

    /** Starts the duty and the server. */
    fun start(): PlatformStandIn = apply {
        duty.start()
        server.start()
    }

    override fun close() {
        timer.shutdownNow()
        pendingReplies.keys.forEach { completeExchange(it, StandInReply.AnswerLost) }
        server.stop()
        duty.close()
    }

    /** Replaces the faults in force by [faults]. */
    fun setFaults(faults: PlatformFaults) {
        exchange({ StandInEvent.SetFaults(it, faults) }) { Response(Status.OK) }
    }

    private fun exchange(
        event: (exchangeId: Long) -> StandInEvent,
        answer: (StandInReply) -> Response,
    ) = CompletableFuture<StandInReply>().let { reply ->
        val exchangeId = lastExchangeId.incrementAndGet()
        pendingReplies[exchangeId] = reply
        ring.put(event(exchangeId))
        answer(reply.get())
    }

    private fun execute(action: StandInAction) {
        when (action.delay) {
            Duration.ZERO -> completeExchange(action.exchangeId, action.reply)
            else -> timer.schedule(
                { completeExchange(action.exchangeId, action.reply) },
                action.delay.inWholeMilliseconds,
                TimeUnit.MILLISECONDS,
            )
        }
    }

    private fun completeExchange(exchangeId: Long, reply: StandInReply) {
        pendingReplies.remove(exchangeId)?.complete(reply)
    }

    private companion object {
        const val RING_CAPACITY = 1_024
    }
}
