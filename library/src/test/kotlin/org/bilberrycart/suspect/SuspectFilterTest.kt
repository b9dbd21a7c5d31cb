package org.bilberrycart.suspect

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.AttemptOutcome
import org.bilberrycart.model.Fingerprint
import org.bilberrycart.model.LossCause
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.Placement
import org.bilberrycart.model.RepeatMode
import org.bilberrycart.model.RequestClass
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.ServiceCall
import org.bilberrycart.model.ServiceId
import org.bilberrycart.model.UpstreamId

private data class SuspectCase(
    val name: String,
    val events: List<SuspectEvent>,
    val actions: List<String>,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

/** The placement of attempt [number] of [request], whose name defaults to its fingerprint. */
private fun place(fingerprint: String, number: Int, request: String = fingerprint) =
    SuspectEvent.Place(
        Placement(
            AttemptId(RequestId(request), epoch = 1, number = number),
            ServiceCall(
                id = RequestId(request),
                organisation = OrganisationId("club"),
                service = ServiceId("drafts"),
                requestClass = RequestClass.SHORT_QUESTION,
                fingerprint = Fingerprint(fingerprint),
                arrivedAt = Duration.ZERO,
                deadline = 30.minutes,
                operation = "op",
                body = "",
                repeatMode = RepeatMode.IDEMPOTENT,
            ),
        ),
    )

private fun ended(request: String, number: Int, on: String, outcome: AttemptOutcome) =
    SuspectEvent.AttemptEnded(
        AttemptId(RequestId(request), epoch = 1, number = number),
        UpstreamId(on),
        outcome,
    )

private fun lost(request: String, number: Int, on: String, cause: LossCause = LossCause.RESET) =
    ended(request, number, on, AttemptOutcome.Lost(cause))

private fun completed(request: String, number: Int, on: String) =
    ended(request, number, on, AttemptOutcome.Completed)

/** Places attempt [number] and loses it by a crash of the engine with that number. */
private fun crash(fingerprint: String, number: Int) =
    listOf(place(fingerprint, number), lost(fingerprint, number, "e$number"))

private class SuspectRun {
    private val filter = SuspectFilter()
    private var state = SuspectState()
    var now = Duration.ZERO

    fun step(event: SuspectEvent): List<String> {
        now += 1.milliseconds
        val step = filter.step(state, event, now)
        state = step.state
        return step.actions.map {
            when (it) {
                is SuspectAction.Place ->
                    "${it.placement.attempt.request}:${it.placement.isolation}"

                is SuspectAction.Refuse -> "${it.attempt.request}!${it.code}"

                is SuspectAction.Gossip -> "${it.fingerprint}~${it.crashes}"
            }
        }
    }
}

class SuspectFilterTest :
    FunSpec({
        context("a request that crashes upstreams is isolated and then refused") {
            withData(
                SuspectCase(
                    "apart after the first crash, alone after the second, refused after the third",
                    crash("k", 1) + crash("k", 2) + crash("k", 3) + place("k", 4),
                    listOf("k:NONE", "k:APART", "k~2", "k:ALONE", "k~3", "k!CRASHES_UPSTREAMS"),
                ),
                SuspectCase(
                    "another request with the same fingerprint counts as the same request",
                    crash("k", 1) + crash("k", 2) + crash("k", 3) +
                        place("k", 1, request = "again"),
                    listOf("k:NONE", "k:APART", "k~2", "k:ALONE", "k~3", "again!CRASHES_UPSTREAMS"),
                ),
                SuspectCase(
                    "the report of another node counts",
                    listOf(
                        SuspectEvent.SuspectReported(Fingerprint("k"), crashes = 3, 10.minutes),
                        place("k", 1),
                    ),
                    listOf("k!CRASHES_UPSTREAMS"),
                ),
                SuspectCase(
                    "an older report does not lower the count",
                    crash("k", 1) + crash("k", 2) +
                        SuspectEvent.SuspectReported(Fingerprint("k"), crashes = 1, 10.minutes) +
                        place("k", 3),
                    listOf("k:NONE", "k:APART", "k~2", "k:ALONE"),
                ),
                SuspectCase(
                    "one attempt of a suspect is in flight at a time",
                    crash("k", 1) + listOf(
                        place("k", 2),
                        place("k", 1, request = "copy"),
                        lost("k", 2, "e2"),
                    ),
                    listOf("k:NONE", "k:APART", "k~2", "copy:ALONE"),
                ),
                SuspectCase(
                    "a held attempt that is withdrawn is not placed",
                    crash("k", 1) + listOf(
                        place("k", 2),
                        place("k", 1, request = "copy"),
                        SuspectEvent.NotPlaced(AttemptId(RequestId("copy"), 1, 1)),
                        lost("k", 2, "e2"),
                    ),
                    listOf("k:NONE", "k:APART", "k~2"),
                ),
            ) { case ->
                val run = SuspectRun()
                case.events.flatMap(run::step) shouldBe case.actions
            }
        }

        context("a request that did not cause a crash is not refused") {
            val unrelated = listOf("a", "b", "c")
            withData(
                SuspectCase(
                    "a suspect that completes is cleared",
                    crash("k", 1) + crash("k", 2) +
                        listOf(
                            place("k", 3),
                            completed("k", 3, "e3"),
                            place("k", 1, request = "n"),
                        ),
                    listOf("k:NONE", "k:APART", "k~2", "k:ALONE", "n:NONE"),
                ),
                SuspectCase(
                    "crashes of upstreams that ran other requests too do not lead to a refusal",
                    listOf(place("a", 1), place("a", 1, request = "a2"), place("a", 1, "a3")) +
                        listOf(lost("a", 1, "e1"), lost("a2", 1, "e2"), lost("a3", 1, "e3")) +
                        place("a", 2),
                    listOf("a:NONE", "a2:NONE", "a3:NONE", "a~2", "a:ALONE"),
                ),
                SuspectCase(
                    "the end of an upstream that announced its stop does not count",
                    listOf(SuspectEvent.Leaving(UpstreamId("e1"))) + crash("k", 1) + place("k", 2),
                    listOf("k:NONE", "k:NONE"),
                ),
                SuspectCase(
                    "a request sent to an engine that had already crashed is not suspect",
                    crash("k", 1) + listOf(
                        place("a", 1),
                        lost("a", 1, "e1"),
                        place("a", 2),
                    ),
                    listOf("k:NONE", "a:NONE", "a:NONE"),
                ),
                SuspectCase(
                    "a request on an engine that crashed again after its return is suspect",
                    crash("k", 1) + listOf(
                        SuspectEvent.Returned(UpstreamId("e1")),
                        place("a", 1),
                        lost("a", 1, "e1"),
                        place("a", 2),
                    ),
                    listOf("k:NONE", "a:NONE", "a:APART"),
                ),
                SuspectCase(
                    "a refused attempt does not count",
                    listOf(
                        place("k", 1),
                        lost("k", 1, "e1", LossCause.REFUSED),
                        place("k", 2),
                    ),
                    listOf("k:NONE", "k:NONE"),
                ),
                SuspectCase(
                    "requests on many engines that crash at once are not suspect",
                    unrelated.map { place(it, 1) } +
                        unrelated.map { lost(it, 1, "engine of $it") } +
                        unrelated.map { place(it, 2) },
                    listOf("a:NONE", "b:NONE", "c:NONE", "a:NONE", "b:NONE", "c:NONE"),
                ),
                SuspectCase(
                    "a request on several of many engines that crash at once stays suspect",
                    crash("k", 1) + crash("k", 2) + crash("a", 3) +
                        listOf(place("k", 3), place("a", 4)),
                    listOf("k:NONE", "k:APART", "k~2", "a:NONE", "k:ALONE", "a:NONE"),
                ),
            ) { case ->
                val run = SuspectRun()
                case.events.flatMap(run::step) shouldBe case.actions
            }
        }

        test("a single crash is reported once it is known not to be part of a mass loss") {
            val run = SuspectRun()
            crash("k", 1).forEach(run::step)
            run.step(SuspectEvent.Tick) shouldBe emptyList()
            run.now += 3.seconds
            run.step(SuspectEvent.Tick) shouldBe listOf("k~1")
            run.step(SuspectEvent.Tick) shouldBe emptyList()
        }

        test("a suspect expires after ten minutes") {
            val run = SuspectRun()
            crash("k", 1).forEach(run::step)
            run.now += 10.minutes
            run.step(SuspectEvent.Tick)
            run.step(place("k", 2)) shouldBe listOf("k:NONE")
        }
    })
