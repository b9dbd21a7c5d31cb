package org.bilberrycart.bench.generations

import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentHashMapOf
import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.EventId
import org.bilberrycart.model.Fingerprint
import org.bilberrycart.model.GenerationRequest
import org.bilberrycart.model.ModelRef
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.RequestClass
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.ResultCode
import org.bilberrycart.model.Sampling
import org.bilberrycart.model.ServiceId
import org.bilberrycart.model.Token
import org.bilberrycart.release.CallerId
import org.bilberrycart.takeover.TakeoverEvent

/** Simulates the callers: each reads its answer and reconnects when its connection is lost. */
class SoakCallers(private val world: SoakWorld, private val processes: SoakProcesses) {
    fun partArrived(event: SoakEvent.PartArrived) {
        val caller = world.callers.getValue(event.request)
        val isOpen = caller.connection == event.connection && caller.end == null
        val node = caller.node?.let { world.nodes.getValue(it.vm) }
            ?.takeIf { it.id == caller.node && it.isAlive }
        if (!isOpen || node == null) return
        if (node.isPaused) {
            world.schedule(PAUSED_RETRY_INTERVAL, event)
            return
        }
        world.traceEvent(node.id.vm, event)
        when (val part = event.part) {
            is AnswerPart.Tokens -> part.tokens.forEach {
                tokenArrived(caller.request, part.epoch, it)
            }
            is AnswerPart.Finished -> answerFinished(caller, part)
            is AnswerPart.Failed -> answerFailed(caller, part)
            is AnswerPart.Reply -> error("a generation received $part, which only plain calls have")
        }
    }

    private fun tokenArrived(request: RequestId, epoch: Int, token: Token) {
        val caller = world.callers.getValue(request)
        if (token.index != caller.texts.size) {
            world.reportViolation(
                "each_token_once",
                request,
                "index ${token.index} after ${caller.texts.size}",
            )
        }
        world.callers = world.callers.put(
            request,
            caller.copy(
                texts = caller.texts.add(token.text),
                lastEventId = EventId(request, epoch, token.index),
            ),
        )
    }

    private fun answerFinished(caller: SoakCaller, part: AnswerPart.Finished) {
        if (caller.texts.size != part.tokenCount || part.tokenCount != world.plan.tokens) {
            world.reportViolation(
                "answer_whole",
                caller.request,
                "${caller.texts.size} of ${part.tokenCount}",
            )
        }
        world.callers = world.callers.put(caller.request, caller.copy(end = part))
    }

    private fun answerFailed(caller: SoakCaller, part: AnswerPart.Failed) {
        if (part.code == ResultCode.FENCED || part.code.retryable || part.code == RETRY_LATER) {
            disconnect(caller)
        } else {
            if (world.plan.mustSurvive(caller.texts.size)) {
                world.reportViolation(
                    "answer_survives",
                    caller.request,
                    "${part.code}",
                )
            }
            world.callers = world.callers.put(caller.request, caller.copy(end = part))
        }
    }

    fun connectionLost(event: SoakEvent.ConnectionLost) {
        val caller = world.callers.getValue(event.request)
        if (caller.connection == event.connection && caller.end == null) disconnect(caller)
    }

    fun disconnect(caller: SoakCaller) {
        world.connections++
        world.callers =
            world.callers.put(
                caller.request,
                caller.copy(connection = world.connections, node = null),
            )
        world.schedule(
            world.randomBetween(20.milliseconds, 1.seconds),
            SoakEvent.CallerConnects(caller.request),
        )
    }

    fun connect(request: RequestId) {
        val caller = world.callers.getValue(request)
        if (caller.end != null || caller.node != null) return
        val candidates = world.nodes.values.filter {
            it.isAlive && !it.isPaused
        }.sortedBy { it.id.vm }
        if (candidates.isEmpty()) {
            world.schedule(1.seconds, SoakEvent.CallerConnects(request))
            return
        }
        val node = candidates[world.random.nextInt(candidates.size)]
        world.connections++
        world.callers = world.callers.put(
            request,
            caller.copy(connection = world.connections, node = node.id),
        )
        if (request in
            world.startedRequests
        ) {
            resumeAt(node, caller, world.connections)
        } else {
            startGeneration(node, request)
        }
    }

    private fun startGeneration(node: SoakNode, request: RequestId) {
        world.startedRequests = world.startedRequests.add(request)
        val vm = node.id.vm
        val generation = generation(request)
        val answer = SoakNode.ReleasedAnswer(readers = persistentHashMapOf(world.connections to 0))
        world.nodes = world.nodes.put(
            vm,
            node.copy(
                journals = node.journals.put(request, SoakNode.Journal(generation, 1, 0)),
                answers = node.answers.put(request, answer),
            ),
        )
        processes.startGeneration(vm, generation, epoch = 1)
    }

    private fun resumeAt(node: SoakNode, caller: SoakCaller, connection: Long) {
        val event = TakeoverEvent.Reconnected(
            CallerId(connection),
            caller.request,
            ORGANISATION,
            caller.lastEventId,
        )
        world.schedule(LOCAL_DELAY, SoakEvent.Takeover(node.id, event))
    }

    private fun generation(request: RequestId) = GenerationRequest(
        id = request,
        organisation = ORGANISATION,
        service = ServiceId("drafts"),
        requestClass = RequestClass.LONG_DRAFT,
        fingerprint = Fingerprint(request.value),
        arrivedAt = world.now,
        deadline = world.now + world.plan.horizon,
        model = ModelRef("model"),
        prompt = "prompt",
        sampling = Sampling(maxTokens = world.plan.tokens),
    )

    private companion object {
        val ORGANISATION = OrganisationId("club")
        val LOCAL_DELAY = 100.microseconds
        val PAUSED_RETRY_INTERVAL = 10.milliseconds
        val RETRY_LATER = ResultCode.STORE_UNAVAILABLE
    }
}
