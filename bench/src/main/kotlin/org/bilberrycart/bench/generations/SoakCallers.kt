package org.bilberrycart.bench.generations

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

/** The callers: each reads its answer, and comes back when its connection breaks. */
class SoakCallers(private val world: SoakWorld, private val processes: SoakProcesses) {
    fun delivered(event: SoakEvent.Delivered) {
        val caller = world.callers.getValue(event.request)
        val isOpen = caller.connection == event.connection && caller.end == null
        val node = caller.node?.let { world.nodes.getValue(it.vm) }
            ?.takeIf { it.id == caller.node && it.isAlive }
        if (!isOpen || node == null) return
        if (node.isPaused) {
            world.schedule(PAUSE_CHECK, event)
            return
        }
        world.note(node.id.vm, event)
        when (val part = event.part) {
            is AnswerPart.Tokens -> part.tokens.forEach { read(caller.request, part.epoch, it) }
            is AnswerPart.Finished -> finished(caller, part)
            is AnswerPart.Failed -> failed(caller, part)
            is AnswerPart.Reply -> error("a generation got $part")
        }
    }

    private fun read(request: RequestId, epoch: Int, token: Token) {
        val caller = world.callers.getValue(request)
        if (token.index != caller.texts.size) {
            world.fail(
                "each_token_once",
                request,
                "index ${token.index} after ${caller.texts.size}",
            )
        }
        world.callers = world.callers.put(
            request,
            caller.copy(
                texts = caller.texts.add(token.text),
                last = EventId(request, epoch, token.index),
            ),
        )
    }

    private fun finished(caller: SoakCaller, part: AnswerPart.Finished) {
        if (caller.texts.size != part.tokenCount || part.tokenCount != world.plan.tokens) {
            world.fail("answer_whole", caller.request, "${caller.texts.size} of ${part.tokenCount}")
        }
        world.callers = world.callers.put(caller.request, caller.copy(end = part))
    }

    private fun failed(caller: SoakCaller, part: AnswerPart.Failed) {
        if (part.code == ResultCode.FENCED || part.code.retryable || part.code == LATER) {
            cutCaller(caller)
        } else {
            if (world.plan.mustSurvive(caller.texts.size)) {
                world.fail(
                    "answer_survives",
                    caller.request,
                    "${part.code}",
                )
            }
            world.callers = world.callers.put(caller.request, caller.copy(end = part))
        }
    }

    fun callerCut(event: SoakEvent.CallerCut) {
        val caller = world.callers.getValue(event.request)
        if (caller.connection == event.connection && caller.end == null) cutCaller(caller)
    }

    fun cutCaller(caller: SoakCaller) {
        world.connections++
        world.callers =
            world.callers.put(
                caller.request,
                caller.copy(connection = world.connections, node = null),
            )
        world.schedule(
            world.between(20.milliseconds, 1.seconds),
            SoakEvent.CallerBack(caller.request),
        )
    }

    fun callerBack(request: RequestId) {
        val caller = world.callers.getValue(request)
        if (caller.end != null || caller.node != null) return
        val choice = world.nodes.values.filter { it.isAlive && !it.isPaused }.sortedBy { it.id.vm }
        if (choice.isEmpty()) {
            world.schedule(1.seconds, SoakEvent.CallerBack(request))
            return
        }
        val node = choice[world.random.nextInt(choice.size)]
        world.connections++
        world.callers = world.callers.put(
            request,
            caller.copy(connection = world.connections, node = node.id),
        )
        if (request in
            world.opened
        ) {
            reconnect(node, caller, world.connections)
        } else {
            openAt(node, request)
        }
    }

    private fun openAt(node: SoakNode, request: RequestId) {
        world.opened = world.opened.add(request)
        val vm = node.id.vm
        val generation = generation(request)
        val outlet = SoakNode.Outlet(readers = persistentHashMapOf(world.connections to 0))
        world.nodes = world.nodes.put(
            vm,
            node.copy(
                journals = node.journals.put(request, SoakNode.Journal(generation, 1, 0)),
                outlets = node.outlets.put(request, outlet),
            ),
        )
        processes.begin(vm, generation, epoch = 1)
    }

    private fun reconnect(node: SoakNode, caller: SoakCaller, connection: Long) {
        val event = TakeoverEvent.Reconnected(
            CallerId(connection),
            caller.request,
            ORGANISATION,
            caller.last,
        )
        world.schedule(HOP, SoakEvent.Takeover(node.id, event))
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
        val HOP = 10.milliseconds / 100
        val PAUSE_CHECK = 10.milliseconds
        val LATER = ResultCode.STORE_UNAVAILABLE
    }
}
