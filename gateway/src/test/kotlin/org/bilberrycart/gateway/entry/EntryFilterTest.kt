package org.bilberrycart.gateway.entry

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.bilberrycart.gateway.Samples
import org.bilberrycart.gateway.model.Body
import org.bilberrycart.gateway.model.CallHead
import org.bilberrycart.gateway.model.CallKey
import org.bilberrycart.gateway.model.Refusal
import org.bilberrycart.gateway.model.RequestLimits
import org.bilberrycart.gateway.model.RetryRule
import org.bilberrycart.gateway.model.ServingConfiguration

private data class EntryCase(
    val name: String,
    val configurations: List<ServingConfiguration>,
    val head: CallHead,
    val body: Body = Body.EMPTY,
    val intake: RequestIntake = RequestIntake.All,
    val outcome: String,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

private fun configuration(
    version: Long = 1,
    keys: PersistentMap<String, String>? = persistentMapOf("k1" to "club"),
    isPublic: Boolean = false,
) = ServingConfiguration(
    version = version,
    routes = persistentListOf(
        Samples.route(RetryRule.AtMostOnce).copy(name = "short", isPublic = isPublic),
        Samples.route(RetryRule.Stream(true)).copy(name = "stream", prefix = "/a/s/"),
        Samples.route(
            RetryRule.AtMostOnce,
        ).copy(name = "long", prefix = "/a/b/", isPublic = isPublic),
    ),
    services = persistentMapOf(Samples.desk to Samples.service()),
    limits = RequestLimits(bodyBytes = 3),
    organisations = keys,
)

private fun head(path: String = "/a/x", key: String? = "k1") =
    Samples.head(path = path).copy(credential = key)

class EntryFilterTest :
    FunSpec({
        withData(
            EntryCase(
                "a request before the first configuration is refused",
                emptyList(),
                head(),
                outcome = "NotRun",
            ),
            EntryCase(
                "a request with a known key is forwarded",
                listOf(configuration()),
                head(),
                outcome = "short club 1",
            ),
            EntryCase(
                "the longest prefix wins",
                listOf(configuration()),
                head("/a/b/c"),
                outcome = "long club 1",
            ),
            EntryCase(
                "a path that shares only part of a prefix has no route",
                listOf(configuration()),
                head("/ab/"),
                outcome = "UnknownRoute",
            ),
            EntryCase(
                "an unknown host has no route",
                listOf(configuration()),
                head().copy(host = "other.example"),
                outcome = "UnknownRoute",
            ),
            EntryCase(
                "an unknown key is refused",
                listOf(configuration()),
                head(key = "k2"),
                outcome = "UnknownKey",
            ),
            EntryCase(
                "a missing key is refused",
                listOf(configuration()),
                head(key = null),
                outcome = "UnknownKey",
            ),
            EntryCase(
                "a public route needs no key",
                listOf(configuration(isPublic = true)),
                head(key = null),
                outcome = "short null 1",
            ),
            EntryCase(
                "a configuration without organisations requires no key",
                listOf(configuration(keys = null)),
                head(key = null),
                outcome = "short null 1",
            ),
            EntryCase(
                "a stream is refused when only calls are accepted",
                listOf(configuration()),
                head("/a/s/1"),
                intake = RequestIntake.CallsOnly,
                outcome = "NotRun",
            ),
            EntryCase(
                "a call is forwarded when only calls are accepted",
                listOf(configuration()),
                head(),
                intake = RequestIntake.CallsOnly,
                outcome = "short club 1",
            ),
            EntryCase(
                "a call that ends in time is forwarded when only short calls are accepted",
                listOf(configuration()),
                head().copy(timeLeft = 100.milliseconds),
                intake = RequestIntake.ShortCallsOnly(until = 100.milliseconds),
                outcome = "short club 1",
            ),
            EntryCase(
                "a call that may outlast the node is refused when only short ones are accepted",
                listOf(configuration()),
                head().copy(timeLeft = 101.milliseconds),
                intake = RequestIntake.ShortCallsOnly(until = 100.milliseconds),
                outcome = "NotRun",
            ),
            EntryCase(
                "a stream is refused when only short calls are accepted",
                listOf(configuration()),
                head("/a/s/1").copy(timeLeft = 100.milliseconds),
                intake = RequestIntake.ShortCallsOnly(until = 100.milliseconds),
                outcome = "NotRun",
            ),
            EntryCase(
                "a call is refused when no request is accepted",
                listOf(configuration()),
                head(),
                intake = RequestIntake.None,
                outcome = "NotRun",
            ),
            EntryCase(
                "a body over the size limit is refused",
                listOf(configuration()),
                head(),
                Body.of("long"),
                outcome = "TooLarge",
            ),
            EntryCase(
                "a key that a newer configuration removed is refused",
                listOf(configuration(), configuration(2, persistentMapOf())),
                head(),
                outcome = "UnknownKey",
            ),
            EntryCase(
                "an older configuration does not replace a newer one",
                listOf(configuration(2), configuration(1, persistentMapOf())),
                head(),
                outcome = "short club 2",
            ),
        ) { case ->
            val filter = EntryFilter()
            val first = EntryState(intake = case.intake)
            val state = case.configurations.fold(first) { state, configuration ->
                filter.step(state, EntryEvent.Configured(configuration), Duration.ZERO).state
            }
            val event = EntryEvent.Received(CallKey(1), case.head, case.body, Duration.ZERO)
            val outcome = when (
                val action = filter.step(
                    state,
                    event,
                    Duration.ZERO,
                ).actions.single()
            ) {
                is EntryAction.Forward ->
                    "${action.call.route.name} ${action.call.organisation} ${action.version}"
                is EntryAction.Refuse -> when (action.refusal) {
                    is Refusal.NotRun -> "NotRun"
                    else -> action.refusal::class.simpleName
                }
                is EntryAction.ConfigurationApplied -> "configuration applied"
                is EntryAction.ReportGone -> "gone"
            }
            outcome shouldBe case.outcome
        }

        test("the close of a caller follows its request to placement") {
            val gone = EntryEvent.CallerGone(CallKey(1))
            EntryFilter().step(EntryState(), gone, Duration.ZERO).actions shouldBe
                listOf(EntryAction.ReportGone(CallKey(1)))
        }
    })
