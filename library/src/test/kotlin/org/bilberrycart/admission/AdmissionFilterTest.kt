package org.bilberrycart.admission

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.model.RequestClass
import org.bilberrycart.pipeline.InvariantViolation

private data class AdmissionCase(
    val name: String,
    val before: List<AdmissionEvent>,
    val wait: Duration = Duration.ZERO,
    val last: AdmissionEvent,
    val action: String,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

private val DRAFT = RequestClass.LONG_DRAFT

class AdmissionFilterTest :
    FunSpec({
        fun check(case: AdmissionCase) {
            val run = AdmissionRun()
            case.before.forEach(run::step)
            run.now += case.wait
            run.step(case.last) shouldBe listOf(case.action)
        }

        context("a node refuses work that it cannot take") {
            withData(
                AdmissionCase(
                    "a node that shuts down takes no new work",
                    listOf(AdmissionEvent.Drain),
                    last = arrived("1"),
                    action = "1!DRAINING+1s",
                ),
                AdmissionCase(
                    "a request after its deadline is refused",
                    emptyList(),
                    wait = 5.seconds,
                    last = arrived("1", deadline = 5.seconds),
                    action = "1!DEADLINE_PASSED+null",
                ),
                AdmissionCase(
                    "a request is admitted if there is no capacity report yet",
                    emptyList(),
                    last = arrived("1"),
                    action = "1",
                ),
            ) { check(it) }
        }

        context("the limits of an organisation hold for all nodes together") {
            val perSecond = limits("club" to OrganisationLimits(requestsPerSecond = 2.0))
            val four = List(4) { arrived("$it") }
            val two = limits("club" to OrganisationLimits(concurrentGenerations = 2))
            val tokens = limits("club" to OrganisationLimits(tokensPerMinute = 600))
            withData(
                AdmissionCase(
                    "requests per second are limited, with a burst of two seconds",
                    listOf(perSecond) + four,
                    last = arrived("x"),
                    action = "x!LIMIT_REACHED+1s",
                ),
                AdmissionCase(
                    "the allowance of requests refills",
                    listOf(perSecond) + four,
                    wait = 500.milliseconds,
                    last = arrived("x"),
                    action = "x",
                ),
                AdmissionCase(
                    "a node admits only its share of the requests while other nodes use theirs",
                    listOf(
                        perSecond,
                        AdmissionEvent.NodesChanged(2),
                        peerUsage("club", Usage(requestsPerSecond = 1.5)),
                    ) + four.take(2),
                    last = arrived("x"),
                    action = "x!LIMIT_REACHED+1s",
                ),
                AdmissionCase(
                    "concurrent generations are limited",
                    listOf(two, arrived("1"), arrived("2")),
                    last = arrived("x"),
                    action = "x!LIMIT_REACHED+1s",
                ),
                AdmissionCase(
                    "a generation is admitted after another one has ended",
                    listOf(two, arrived("1"), arrived("2"), over("1")),
                    last = arrived("x"),
                    action = "x",
                ),
                AdmissionCase(
                    "generations on other nodes are counted",
                    listOf(
                        two,
                        AdmissionEvent.NodesChanged(2),
                        peerUsage("club", Usage(concurrent = 1)),
                        arrived("1"),
                    ),
                    last = arrived("x"),
                    action = "x!LIMIT_REACHED+1s",
                ),
                AdmissionCase(
                    "a node may use what other nodes leave unused",
                    listOf(two, AdmissionEvent.NodesChanged(2), arrived("1")),
                    last = arrived("x"),
                    action = "x",
                ),
                AdmissionCase(
                    "tokens per minute are limited, counted at the end of each generation",
                    listOf(tokens, arrived("1"), over("1", tokens = 650)),
                    last = arrived("x"),
                    action = "x!LIMIT_REACHED+6s",
                ),
                AdmissionCase(
                    "a call that generates nothing needs no tokens",
                    listOf(tokens, arrived("1"), over("1", tokens = 650)),
                    last = arrived("x", requestClass = RequestClass.CHECK),
                    action = "x",
                ),
            ) { check(it) }
        }

        context("a burst of one organisation does not use the shares of the others") {
            withData(
                AdmissionCase(
                    "the only organisation with work may use idle slots",
                    listOf(capacity(slots = 100)) + arrivals("club", 1, 79),
                    last = arrived("x", "club", DRAFT),
                    action = "x",
                ),
                AdmissionCase(
                    "an organisation that exceeds its share is refused above the borrow limit",
                    listOf(capacity(slots = 100), arrived("f", "family")) +
                        arrivals("club", 1, 79),
                    last = arrived("x", "club", DRAFT),
                    action = "x!LIMIT_REACHED+1s",
                ),
                AdmissionCase(
                    "the other organisation is still admitted",
                    listOf(capacity(slots = 100), arrived("f", "family")) +
                        arrivals("club", 1, 85),
                    last = arrived("x", "family", DRAFT),
                    action = "x",
                ),
                AdmissionCase(
                    "a larger weight gives a larger share",
                    listOf(
                        limits("club" to OrganisationLimits(weight = 9)),
                        capacity(slots = 100, usedByOthers = 30),
                        arrived("f", "family"),
                    ) + arrivals("club", 1, 71),
                    last = arrived("x", "club", DRAFT),
                    action = "x",
                ),
                AdmissionCase(
                    "an organisation that offers far more than its share gets only a part of it",
                    listOf(capacity(slots = 100, usedByOthers = 45), arrived("f", "family")) +
                        arrivals("club", 1, 40),
                    last = arrived("x", "club", DRAFT),
                    action = "x!LIMIT_REACHED+2s",
                ),
                AdmissionCase(
                    "work of the organisation on other nodes is counted",
                    listOf(
                        AdmissionEvent.NodesChanged(2),
                        peerUsage("club", Usage(concurrent = 50)),
                        capacity(slots = 100, usedByOthers = 60),
                        arrived("f", "family"),
                    ) + arrivals("club", 1, 32),
                    last = arrived("x", "club", DRAFT),
                    action = "x!LIMIT_REACHED+3s",
                ),
            ) { check(it) }
        }

        context("a request whose predicted wait is too long is refused") {
            withData(
                AdmissionCase(
                    "a long draft behind a long queue is refused",
                    listOf(capacity(slots = 10)) + arrivals("club", 1, 13),
                    last = arrived("x", "club", DRAFT),
                    action = "x!OVERLOADED+27s",
                ),
                AdmissionCase(
                    "a long draft with a short predicted wait is admitted",
                    listOf(capacity(slots = 10)) + arrivals("club", 1, 9),
                    last = arrived("x", "club", DRAFT),
                    action = "x",
                ),
                AdmissionCase(
                    "a short wait is too long if the deadline is near",
                    listOf(capacity(slots = 10)) + arrivals("club", 1, 9),
                    last = arrived("x", "club", DRAFT, deadline = 30.seconds),
                    action = "x!OVERLOADED+7s",
                ),
                AdmissionCase(
                    "a short question is admitted while long drafts fill the fleet",
                    listOf(capacity(slots = 10)) + arrivals("club", 1, 13),
                    last = arrived("x", "club"),
                    action = "x",
                ),
                AdmissionCase(
                    "a long draft with a short wait on the share of this node is admitted",
                    listOf(AdmissionEvent.NodesChanged(2), capacity(slots = 10, usedByOthers = 9)) +
                        arrivals("club", 1, 5, RequestClass.SHORT_QUESTION),
                    last = arrived("x", "club", DRAFT),
                    action = "x",
                ),
            ) { check(it) }
        }

        test("the predicted wait follows the observed durations") {
            val run = AdmissionRun()
            run.step(capacity(slots = 10))
            repeat(200) {
                run.step(arrived("w$it", requestClass = DRAFT))
                run.now += 2.seconds
                run.step(over("w$it"))
            }
            arrivals("club", 1, 13).forEach(run::step)
            run.step(arrived("x", "club", DRAFT)) shouldBe listOf("x")
        }

        test("a second admission of a request violates an invariant") {
            val run = AdmissionRun()
            run.step(arrived("1"))
            shouldThrow<InvariantViolation> { run.step(arrived("1")) }
        }

        context("the counts agree with the requests for random event sequences") {
            withData(nameFn = { "seed $it" }, 1, 2, 3) { seed ->
                val run = AdmissionRun()
                val random = Random(seed)
                run.step(limits("o1" to OrganisationLimits(weight = 3)))
                repeat(2_000) { index ->
                    run.now += 10.milliseconds
                    val event = randomEvent(random, index)
                    val actions = run.step(event)
                    actions.size shouldBe if (event is AdmissionEvent.Arrived) 1 else 0
                }
            }
        }
    })

private fun randomEvent(random: Random, index: Int): AdmissionEvent {
    val organisation = "o${random.nextInt(4)}"
    return when (random.nextInt(10)) {
        0 -> capacity(slots = random.nextInt(40), usedByOthers = random.nextInt(20))
        1 -> peerUsage(organisation, Usage(concurrent = random.nextInt(5)))
        2 -> limits(organisation to OrganisationLimits(weight = 1 + random.nextInt(4)))
        in 3..6 -> arrived("r$index", organisation, RequestClass.entries.random(random))
        else -> over("r${index - 1 - random.nextInt(20)}")
    }
}
