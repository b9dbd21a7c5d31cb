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

/**
 * The fake engines that the dispatch duty sends attempts to; a randomised run decides when they
 * send events and fail.
 */
internal class FakeEngines(
    private val random: Random,
    private val output: UpstreamOutput,
    private val recorder: ViolationRecorder,
    private val runView: RunView,
) : Sink<DispatchAction> {
    /** The state of the node and its callers that the engines check their attempts against. */
    interface RunView {
        /** Returns whether the dispatch duty still has [attempt] open. */
        fun isOpen(attempt: AttemptId): Boolean

        /** Returns the number of tokens that the caller of [request] has received. */
        fun receivedTokens(request: RequestId): Int
    }

    private var streams: PersistentMap<AttemptId, FakeStream> = persistentMapOf()
    private var dead: PersistentSet<UpstreamId> = persistentSetOf()
    private var paused: PersistentSet<UpstreamId> = persistentSetOf()

    /** The engines that report that they are leaving the fleet; they do not come back. */
    var leaving: PersistentSet<UpstreamId> = persistentSetOf()
        private set

    /** Whether no engine has an open stream. */
    val isIdle: Boolean
        get() = streams.isEmpty()

    override fun accept(action: DispatchAction) {
        recorder.trace { "node: $action" }
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

    /** Makes a random stream of a running engine send its next event. */
    fun sendNext() {
        val ready = streams.values.filter { !it.isSilent && it.upstream.id !in paused }
        if (ready.isEmpty()) return
        send(ready.random(random))
    }

    /** Injects [fault] into a random engine or stream. */
    fun inject(fault: FakeFault, engines: List<Upstream>) {
        val engine = engines.random(random).id
        recorder.trace { "fault: $fault $engine" }
        when (fault) {
            FakeFault.DIE -> die(engine)
            FakeFault.RETURN -> revive(engine)
            FakeFault.PAUSE -> paused = paused.add(engine)
            FakeFault.SILENCE -> silence(engine)
            FakeFault.LEAVE -> if (leaving.isEmpty()) leaving = leaving.add(engine)
            FakeFault.END_EARLY -> randomStream()?.let(::endEarly)
            FakeFault.REPEAT_TOKEN -> randomStream()?.let(::repeatToken)
            FakeFault.SKIP_TOKEN -> randomStream()?.let { putStream(it.copy(next = it.next + 1)) }
        }
    }

    /** Restarts all dead engines and resumes all paused ones. */
    fun reviveAll(engines: List<Upstream>): Unit = engines.forEach { revive(it.id) }

    private fun open(placement: Placement, upstream: Upstream) {
        val request = placement.request as GenerationRequest
        val attempt = placement.attempt
        val expected = List(placement.prefix.size) { expectedToken(request, it) }
        recorder.check(placement.prefix == expected) {
            "$attempt has a prefix that differs from the expected tokens"
        }
        recorder.check(placement.prefix.size >= runView.receivedTokens(request.id)) {
            "$attempt resumes at ${placement.prefix.size}, but its caller has more tokens"
        }
        recorder.check(attempt !in streams) { "$attempt was opened twice" }
        output.placed(placement, upstream)
        val stream = FakeStream(attempt, request, upstream, placement.prefix.size)
        if (upstream.id in dead) {
            closeAsLost(stream, LossCause.RESET)
        } else {
            putStream(stream)
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
        putStream(stream.copy(next = action.from, isSilent = false))
        if (action.upstream.id !in paused) emit(stream, UpstreamEvent.Accepted(action.attempt))
    }

    private fun send(stream: FakeStream) {
        recorder.check(runView.isOpen(stream.attempt)) {
            "${stream.attempt} still sends after it was closed"
        }
        val event = stream.nextEvent()
        emit(stream, event)
        if (event is UpstreamEvent.Finished) {
            streams = streams.remove(stream.attempt)
            output.closed(stream.attempt)
        } else {
            putStream(stream.copy(next = stream.next + 1))
        }
    }

    private fun die(engine: UpstreamId) {
        dead = dead.add(engine)
        streams.values.filter { it.upstream.id == engine }
            .forEach { closeAsLost(it, LossCause.RESET) }
    }

    private fun revive(engine: UpstreamId) {
        dead = dead.remove(engine)
        paused = paused.remove(engine)
    }

    private fun silence(engine: UpstreamId) {
        streams.values.filter { it.upstream.id == engine }
            .forEach { putStream(it.copy(isSilent = true)) }
    }

    private fun endEarly(stream: FakeStream) {
        closeAsLost(stream, LossCause.ENDED_EARLY)
    }

    private fun repeatToken(stream: FakeStream) {
        if (stream.next == 0) return
        val token = expectedToken(stream.request, stream.next - 1)
        emit(stream, UpstreamEvent.TokenArrived(stream.attempt, token))
    }

    private fun closeAsLost(stream: FakeStream, cause: LossCause) {
        streams = streams.remove(stream.attempt)
        emit(stream, UpstreamEvent.Lost(stream.attempt, cause, mayHaveBeenSent = true))
    }

    private fun emit(stream: FakeStream, event: UpstreamEvent) {
        recorder.trace { "engine ${stream.upstream.id}: $event" }
        output.eventArrived(stream.request, stream.upstream, event)
    }

    private fun putStream(stream: FakeStream) {
        streams = streams.put(stream.attempt, stream)
    }

    private fun randomStream(): FakeStream? = streams.values.toList().randomOrNull(random)
}
