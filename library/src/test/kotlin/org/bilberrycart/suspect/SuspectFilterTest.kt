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

/** Attempt [number] of a request, named after its fingerprint unless [request] is given. */
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

private fun done(request: String, number: Int, on: String) =
    ended(request, number, on, AttemptOutcome.Completed)

/** Places attempt [number] and loses it with the engine of that number. */
private fun die(fingerprint: String, number: Int) =
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

                is SuspectAction.Spread -> "${it.fingerprint}~${it.deaths}"
            }
        }
    }
}

class SuspectFilterTest :
    FunSpec({
        context("a request that crashes upstreams is stopped by steps") {
            withData(
                SuspectCase(
                    "apart after the first death, alone after the second, then refused",
                    die("k", 1) + die("k", 2) + die("k", 3) + place("k", 4),
                    listOf("k:NONE", "k:APART", "k~2", "k:ALONE", "k~3", "k!CRASHES_UPSTREAMS"),
                ),
                SuspectCase(
                    "the same body sent again counts as the same request",
                    die("k", 1) + die("k", 2) + die("k", 3) + place("k", 1, request = "again"),
                    listOf("k:NONE", "k:APART", "k~2", "k:ALONE", "k~3", "again!CRASHES_UPSTREAMS"),
                ),
                SuspectCase(
                    "news of another node counts",
                    listOf(
                        SuspectEvent.SuspectHeard(Fingerprint("k"), deaths = 3, 10.minutes),
                        place("k", 1),
                    ),
                    listOf("k!CRASHES_UPSTREAMS"),
                ),
                SuspectCase(
                    "older news does not lower the count",
                    die("k", 1) + die("k", 2) +
                        SuspectEvent.SuspectHeard(Fingerprint("k"), deaths = 1, 10.minutes) +
                        place("k", 3),
                    listOf("k:NONE", "k:APART", "k~2", "k:ALONE"),
                ),
                SuspectCase(
                    "one copy of a suspect is in flight at a time",
                    die("k", 1) + listOf(
                        place("k", 2),
                        place("k", 1, request = "copy"),
                        lost("k", 2, "e2"),
                    ),
                    listOf("k:NONE", "k:APART", "k~2", "copy:ALONE"),
                ),
                SuspectCase(
                    "a held copy that is withdrawn is not placed",
                    die("k", 1) + listOf(
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

        context("innocent work is not refused") {
            val innocents = listOf("a", "b", "c")
            withData(
                SuspectCase(
                    "a suspect that completes is cleared",
                    die("k", 1) + die("k", 2) +
                        listOf(place("k", 3), done("k", 3, "e3"), place("k", 1, request = "n")),
                    listOf("k:NONE", "k:APART", "k~2", "k:ALONE", "n:NONE"),
                ),
                SuspectCase(
                    "deaths beside other work are no proof",
                    listOf(place("a", 1), place("a", 1, request = "a2"), place("a", 1, "a3")) +
                        listOf(lost("a", 1, "e1"), lost("a2", 1, "e2"), lost("a3", 1, "e3")) +
                        place("a", 2),
                    listOf("a:NONE", "a2:NONE", "a3:NONE", "a~2", "a:ALONE"),
                ),
                SuspectCase(
                    "an upstream that gave notice is no sign",
                    listOf(SuspectEvent.Leaving(UpstreamId("e1"))) + die("k", 1) + place("k", 2),
                    listOf("k:NONE", "k:NONE"),
                ),
                SuspectCase(
                    "work sent to an engine that was dead already is no sign",
                    die("k", 1) + listOf(
                        place("a", 1),
                        lost("a", 1, "e1"),
                        place("a", 2),
                    ),
                    listOf("k:NONE", "a:NONE", "a:NONE"),
                ),
                SuspectCase(
                    "work on an engine that died again after its return is suspect",
                    die("k", 1) + listOf(
                        SuspectEvent.Returned(UpstreamId("e1")),
                        place("a", 1),
                        lost("a", 1, "e1"),
                        place("a", 2),
                    ),
                    listOf("k:NONE", "a:NONE", "a:APART"),
                ),
                SuspectCase(
                    "refused work is no sign",
                    listOf(
                        place("k", 1),
                        lost("k", 1, "e1", LossCause.REFUSED),
                        place("k", 2),
                    ),
                    listOf("k:NONE", "k:NONE"),
                ),
                SuspectCase(
                    "many engines lost at once have a common cause",
                    innocents.map { place(it, 1) } +
                        innocents.map { lost(it, 1, "engine of $it") } +
                        innocents.map { place(it, 2) },
                    listOf("a:NONE", "b:NONE", "c:NONE", "a:NONE", "b:NONE", "c:NONE"),
                ),
                SuspectCase(
                    "but what was on several of them stays suspect",
                    die("k", 1) + die("k", 2) + die("a", 3) + listOf(place("k", 3), place("a", 4)),
                    listOf("k:NONE", "k:APART", "k~2", "a:NONE", "k:ALONE", "a:NONE"),
                ),
            ) { case ->
                val run = SuspectRun()
                case.events.flatMap(run::step) shouldBe case.actions
            }
        }

        test("a single death is told to the other nodes once it is no part of a mass loss") {
            val run = SuspectRun()
            die("k", 1).forEach(run::step)
            run.step(SuspectEvent.Tick) shouldBe emptyList()
            run.now += 3.seconds
            run.step(SuspectEvent.Tick) shouldBe listOf("k~1")
            run.step(SuspectEvent.Tick) shouldBe emptyList()
        }

        test("a suspect is forgotten in the end") {
            val run = SuspectRun()
            die("k", 1).forEach(run::step)
            run.now += 10.minutes
            run.step(SuspectEvent.Tick)
            run.step(place("k", 2)) shouldBe listOf("k:NONE")
        }
    })
