package org.bilberrycart.standins.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.standins.http.HostAction

private val settings = EngineSettings(
    slots = 2,
    queueLimit = 2,
    stepMicros = 10_000,
    stepMicrosPerStream = 0,
    prefillMicros = 1_000,
    cacheGapPercent = 0,
)

/** Runs the filter with a clock that advances from tick to tick. */
private class Run(settings: EngineSettings) {
    var state = EngineState(settings)
    var now = Duration.ZERO
    val actions = mutableListOf<EngineAction>()

    fun send(event: EngineEvent) {
        val step = EngineFilter.step(state, event, now)
        state = step.state
        actions += step.actions
    }

    fun open(
        attempt: String,
        prompt: String = attempt,
        prefix: List<String> = emptyList(),
        maxTokens: Int = 8,
        priority: Int = 0,
        model: String = "m",
    ): ReaderId {
        val reader = ReaderId(state.arrivals + 1_000 + actions.size)
        val request = StreamRequest(
            attempt = attempt,
            model = model,
            prompt = prompt,
            prefix = prefix,
            maxTokens = maxTokens,
            priority = priority,
        )
        send(EngineEvent.Open(request, reader))
        return reader
    }

    fun runUntil(end: Duration) {
        generateSequence { EngineFilter.nextTickAt(state)?.takeIf { it <= end } }.forEach { next ->
            now = maxOf(now, next)
            send(EngineEvent.Tick)
        }
        now = end
    }

    fun replies(reader: ReaderId) = actions.filterIsInstance<EngineAction.Send>()
        .filter { it.reader == reader }.map { it.reply }

    fun indexes(reader: ReaderId) = replies(reader).filterIsInstance<EngineReply.Tokens>()
        .flatMap { it.from until it.until }

    fun refusal(reader: ReaderId) = replies(reader).filterIsInstance<EngineReply.Refused>()
        .singleOrNull()?.status

    fun length(attempt: String) = state.streams.getValue(attempt).length
}

private data class RefusalCase(val reason: String, val status: Int, val open: (Run) -> ReaderId) :
    WithDataTestName {
    override fun dataTestName(): String = "$status when $reason"
}

private data class FaultCase(
    val fault: EngineFault,
    val isClosed: Boolean,
    val hostAction: HostAction?,
    val tokensAfter: Boolean,
) : WithDataTestName {
    override fun dataTestName(): String = fault.toString()
}

private data class FencingCase(val checksFencing: Boolean, val second: Long, val role: String) :
    WithDataTestName {
    override fun dataTestName(): String =
        "number $second after 5 leaves role $role if checksFencing is $checksFencing"
}

class EngineFilterTest :
    FunSpec({
        test("a reader gets each index once and then the finish") {
            val run = Run(settings)
            val reader = run.open("a")
            run.runUntil(1.seconds)
            run.indexes(reader) shouldBe (0 until run.length("a")).toList()
            run.replies(reader).last() shouldBe EngineReply.Finished("stop", run.length("a"))
            run.state.batch.size shouldBe 0
        }

        test("a resumed stream continues after its prefix with the same tokens") {
            val run = Run(settings)
            val source = TokenSource("p", "m")
            val reader = run.open("a", prompt = "p", prefix = List(2, source::token))
            run.runUntil(1.seconds)
            run.indexes(reader) shouldBe (2 until expectedLength(source, 8)).toList()
            run.state.streams.getValue("a").source shouldBe source
        }

        test("a prefix of another generation gives other tokens and is counted") {
            val run = Run(settings)
            run.open("a", prompt = "p", prefix = List(2, TokenSource("other", "m")::token))
            run.state.counters.wrongPrefixes shouldBe 1
            val source = run.state.streams.getValue("a").source
            (source.token(2) == TokenSource("p", "m").token(2)) shouldBe false
        }

        test("the lowest priority number leaves the queue first") {
            val run = Run(settings)
            run.open("a")
            run.open("b")
            run.open("late", priority = 2)
            run.open("soon", priority = 0)
            run.send(EngineEvent.Cancel("a", ReaderId(1)))
            run.state.batch.toSet() shouldBe setOf("b", "soon")
        }

        test("the tokens of a cached prefix are not computed again") {
            val run = Run(settings)
            val prompt = List(32) { "w$it" }.joinToString(" ")
            run.open("a", prompt = prompt)
            run.runUntil(2.seconds)
            run.state.counters.prefillTokens shouldBe 32
            run.open("b", prompt = prompt)
            run.state.counters.cachedTokens shouldBe 32
            run.state.counters.prefillTokens shouldBe 32
        }

        context("a stream is refused with") {
            withData(
                RefusalCase("the attempt exists", 409) {
                    it.open("a")
                    it.open("a")
                },
                RefusalCase("the model is not loaded", 404) { it.open("a", model = "x") },
                RefusalCase("the limit is out of range", 400) { it.open("a", maxTokens = 0) },
                RefusalCase("the queue is full", 503) { run ->
                    repeat(4) { run.open("s$it") }
                    run.open("a")
                },
                RefusalCase("the engine leaves", 503) {
                    it.send(EngineEvent.FaultInjected(EngineFault.Leave))
                    it.open("a")
                },
            ) { case ->
                val run = Run(settings)
                run.refusal(case.open(run)) shouldBe case.status
            }
        }

        context("fault") {
            withData(
                FaultCase(EngineFault.Die, true, HostAction.Die, tokensAfter = false),
                FaultCase(EngineFault.Pause, false, HostAction.Pause, tokensAfter = false),
                FaultCase(EngineFault.Silence, false, HostAction.Silence, tokensAfter = false),
                FaultCase(EngineFault.EndEarly, true, null, tokensAfter = false),
                FaultCase(EngineFault.Leave, false, null, tokensAfter = true),
            ) { case ->
                val run = Run(settings)
                val reader = run.open("a", maxTokens = 1_000)
                run.runUntil(100.milliseconds)
                val before = run.indexes(reader).size
                run.send(EngineEvent.FaultInjected(case.fault))
                (EngineAction.Close(reader) in run.actions) shouldBe case.isClosed
                run.actions.filterIsInstance<EngineAction.Host>().map { it.action } shouldBe
                    listOfNotNull(case.hostAction)
                run.runUntil(200.milliseconds)
                (run.indexes(reader).size > before) shouldBe case.tokensAfter
                run.replies(reader).any { it is EngineReply.Finished } shouldBe false
            }
        }

        test("a stream on a silenced connection keeps running and can be read by another reader") {
            val run = Run(settings)
            val old = run.open("a", maxTokens = 100)
            run.runUntil(100.milliseconds)
            run.send(EngineEvent.FaultInjected(EngineFault.Silence))
            run.runUntil(300.milliseconds)
            val next = run.indexes(old).size
            run.send(EngineEvent.Read("a", next, ReaderId(7)))
            run.runUntil(5.seconds)
            (run.indexes(old) + run.indexes(ReaderId(7))) shouldBe
                (0 until run.length("a")).toList()
        }

        test("an unread stream is abandoned after its timeout and removed later") {
            val run = Run(settings)
            val reader = run.open("a", maxTokens = 1_000_000)
            run.send(EngineEvent.ReaderClosed(reader))
            run.runUntil(9.seconds)
            run.state.batch.size shouldBe 1
            run.runUntil(12.seconds)
            run.state.counters.abandoned shouldBe 1
            run.state.batch.size shouldBe 0
            run.runUntil(60.seconds)
            run.state.streams.size shouldBe 0
        }

        test("a prompt with the crash text kills the engine each time it runs") {
            val run = Run(settings)
            run.send(EngineEvent.FaultInjected(EngineFault.CrashOn("poison")))
            run.open("good")
            run.open("bad", prompt = "some poison here")
            run.state.isAlive shouldBe false
            run.state.counters.lost shouldBe 2
            run.send(EngineEvent.FaultInjected(EngineFault.Restart))
            run.state.incarnation shouldBe 2
            run.state.streams.size shouldBe 0
            run.open("again", prompt = "poison")
            run.state.counters.crashes shouldBe 2
        }

        context("fencing") {
            withData(
                FencingCase(checksFencing = true, second = 4, role = "first"),
                FencingCase(checksFencing = true, second = 5, role = "second"),
                FencingCase(checksFencing = false, second = 4, role = "second"),
            ) { case ->
                val run = Run(settings.copy(checksFencing = case.checksFencing))
                run.send(EngineEvent.CommandReceived(5, EngineCommand.Role("first"), ReaderId(1)))
                run.send(
                    EngineEvent.CommandReceived(
                        case.second,
                        EngineCommand.Role("second"),
                        ReaderId(2),
                    ),
                )
                run.state.role shouldBe case.role
                run.state.highestFencing shouldBe 5
            }
        }

        test("the load history gives the load before and after a change") {
            val run = Run(settings)
            run.now = 10.seconds
            run.open("a", maxTokens = 1_000)
            run.state.load.at(run.now - 1.milliseconds).running shouldBe 0
            run.state.load.at(run.now).running shouldBe 1
        }

        test("cache events keep their sequence numbers over gaps") {
            val log = (1..1_000).fold(CacheLog()) { log, i ->
                log.record(listOf(i.toLong()), i.seconds, settings.copy(cacheGapPercent = 20))
            }
            val sequences = log.published(after = 0, until = Duration.INFINITE).map { it.sequence }
            log.lastSequence shouldBe 1_000
            (sequences.size in 700..900) shouldBe true
            sequences shouldBe sequences.sorted()
            log.published(after = 990, until = 995.seconds).map { it.sequence }
                .forEach { (991L..995L).toList() shouldContain it }
        }
    })
