package org.bilberrycart.bench.pipeline

import kotlin.random.Random
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.bilberrycart.dispatch.DispatchAction
import org.bilberrycart.dispatch.UpstreamEvent
import org.bilberrycart.dispatch.UpstreamOutput
import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.GenerationRequest
import org.bilberrycart.model.LossCause
import org.bilberrycart.model.Placement
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.Upstream
import org.bilberrycart.model.UpstreamId
import org.bilberrycart.pipeline.Sink

/** Small fake engines behind the dispatch duty; a randomised run decides when they act. */
internal class FakeEngines(
    private val random: Random,
    private val output: UpstreamOutput,
    private val watch: RunWatch,
    private val view: View,
) : Sink<DispatchAction> {
    /** What the run knows beside the engines. */
    interface View {
        /** Whether dispatch still wants the stream of [attempt]. */
        fun isOpen(attempt: AttemptId): Boolean

        /** The number of tokens that the caller of [request] has. */
        fun received(request: RequestId): Int
    }

    private var streams: PersistentMap<AttemptId, FakeStream> = persistentMapOf()
    private var dead: PersistentSet<UpstreamId> = persistentSetOf()
    private var paused: PersistentSet<UpstreamId> = persistentSetOf()

    /** The engines that left for good. */
    var left: PersistentSet<UpstreamId> = persistentSetOf()
        private set

    /** Whether no engine runs anything. */
    val isIdle: Boolean
        get() = streams.isEmpty()

    override fun accept(action: DispatchAction) {
        watch.trace { "node: $action" }
        when (action) {
            is DispatchAction.Open -> open(action.placement, action.upstream)
            is DispatchAction.Abort -> abort(action)
            is DispatchAction.Detach -> streams = streams.remove(action.attempt)
            is DispatchAction.SendProbe -> probe(action)
            is DispatchAction.Reopen -> reopen(action)
            is DispatchAction.NotSent -> output.notSent(action)
            is DispatchAction.Remove -> Unit
        }
    }

    /** Lets a random stream send its next event. */
    fun act() {
        val ready = streams.values.filter { !it.isSilent && it.upstream.id !in paused }
        if (ready.isEmpty()) return
        send(ready.random(random))
    }

    /** Brings [fault] about at a random engine or stream. */
    fun fault(fault: FakeFault, engines: List<Upstream>) {
        val engine = engines.random(random).id
        watch.trace { "fault: $fault $engine" }
        when (fault) {
            FakeFault.DIE -> die(engine)
            FakeFault.RETURN -> revive(engine)
            FakeFault.PAUSE -> paused = paused.add(engine)
            FakeFault.SILENCE -> silence(engine)
            FakeFault.LEAVE -> if (left.isEmpty()) left = left.add(engine)
            FakeFault.END_EARLY -> randomStream()?.let(::endEarly)
            FakeFault.REPEAT_TOKEN -> randomStream()?.let(::repeatToken)
            FakeFault.SKIP_TOKEN -> randomStream()?.let { put(it.copy(next = it.next + 1)) }
        }
    }

    /** Brings all engines back. */
    fun heal(engines: List<Upstream>): Unit = engines.forEach { revive(it.id) }

    private fun open(placement: Placement, upstream: Upstream) {
        val request = placement.request as GenerationRequest
        val attempt = placement.attempt
        val expected = List(placement.prefix.size) { expectedToken(request, it) }
        watch.check(placement.prefix == expected) { "$attempt has a foreign prefix" }
        watch.check(placement.prefix.size >= view.received(request.id)) {
            "$attempt resumes after ${placement.prefix.size} tokens, the caller has more"
        }
        watch.check(attempt !in streams) { "$attempt was opened twice" }
        output.placed(placement, upstream)
        val stream = FakeStream(attempt, request, upstream, placement.prefix.size)
        if (upstream.id in dead) {
            lose(stream, LossCause.RESET)
        } else {
            put(stream)
            if (upstream.id !in paused) emit(stream, UpstreamEvent.Accepted(attempt))
        }
    }

    private fun abort(action: DispatchAction.Abort) {
        streams = streams.remove(action.attempt)
    }

    private fun probe(action: DispatchAction.SendProbe) {
        val stream = streams[action.attempt] ?: return
        val isAlive = action.upstream.id !in dead && action.upstream.id !in paused
        emit(stream, UpstreamEvent.Probed(action.attempt, isAlive))
    }

    private fun reopen(action: DispatchAction.Reopen) {
        val stream = streams[action.attempt] ?: return
        put(stream.copy(next = action.from, isSilent = false))
        if (action.upstream.id !in paused) emit(stream, UpstreamEvent.Accepted(action.attempt))
    }

    private fun send(stream: FakeStream) {
        watch.check(view.isOpen(stream.attempt)) { "${stream.attempt} runs on after its end" }
        val event = stream.event()
        emit(stream, event)
        if (event is UpstreamEvent.Finished) {
            streams = streams.remove(stream.attempt)
            output.closed(stream.attempt)
        } else {
            put(stream.copy(next = stream.next + 1))
        }
    }

    private fun die(engine: UpstreamId) {
        dead = dead.add(engine)
        streams.values.filter { it.upstream.id == engine }.forEach { lose(it, LossCause.RESET) }
    }

    private fun revive(engine: UpstreamId) {
        dead = dead.remove(engine)
        paused = paused.remove(engine)
    }

    private fun silence(engine: UpstreamId) {
        streams.values.filter { it.upstream.id == engine }
            .forEach { put(it.copy(isSilent = true)) }
    }

    private fun endEarly(stream: FakeStream) {
        lose(stream, LossCause.ENDED_EARLY)
    }

    private fun repeatToken(stream: FakeStream) {
        if (stream.next == 0) return
        val token = expectedToken(stream.request, stream.next - 1)
        emit(stream, UpstreamEvent.TokenArrived(stream.attempt, token))
    }

    private fun lose(stream: FakeStream, cause: LossCause) {
        streams = streams.remove(stream.attempt)
        emit(stream, UpstreamEvent.Lost(stream.attempt, cause, mayHaveBeenSent = true))
    }

    private fun emit(stream: FakeStream, event: UpstreamEvent) {
        watch.trace { "engine ${stream.upstream.id}: $event" }
        output.eventArrived(stream.request, stream.upstream, event)
    }

    private fun put(stream: FakeStream) {
        streams = streams.put(stream.attempt, stream)
    }

    private fun randomStream(): FakeStream? = streams.values.toList().randomOrNull(random)
}
