package org.bilberrycart.configuration

import io.kotest.core.spec.style.FunSpec
import io.kotest.core.spec.style.scopes.FunSpecContainerScope
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.configuration.ConfigurationEvent.DocumentRead
import org.bilberrycart.configuration.ConfigurationEvent.HeadRead
import org.bilberrycart.configuration.ConfigurationEvent.PeerDocument
import org.bilberrycart.configuration.ConfigurationEvent.PeerHasVersion
import org.bilberrycart.configuration.ConfigurationEvent.ReportCompleted
import org.bilberrycart.configuration.ConfigurationEvent.StoreFailed
import org.bilberrycart.configuration.ConfigurationEvent.Tick
import org.bilberrycart.configuration.ConfigurationEvent.VersionAccepted
import org.bilberrycart.model.VmId

private data class At(val seconds: Int, val event: ConfigurationEvent)

private data class ScriptCase(val name: String, val script: List<At>, val actions: List<String>) :
    WithDataTestName {
    override fun dataTestName(): String = name
}

private fun case(name: String, vararg script: At, then: List<String>) =
    ScriptCase(name, script.toList(), then)

private val peer = VmId("p")

private fun document(version: Long) =
    ConfigurationDocument(version, "p$version", "author", "today", "{}")

private fun peerHas(at: Int, version: Long) = At(at, PeerHasVersion(peer, version))

private val adopted =
    arrayOf(At(0, Tick), At(0, HeadRead(3)), At(0, DocumentRead(document(3))), At(0, Tick))

private val started = arrayOf(*adopted, At(0, ReportCompleted(version = 3, isStored = true)))

private val startedActions =
    listOf("read head", "read 3", "adopt 3", "announce 3", "ready true", "report 3")

private fun describe(action: ConfigurationAction): String = when (action) {
    is ConfigurationAction.Adopt -> "adopt ${action.document.version}"
    is ConfigurationAction.AnnounceVersion -> "announce ${action.version}"
    is ConfigurationAction.RequestDocument -> "ask ${action.peer}"
    is ConfigurationAction.ReadDocument -> "read ${action.version}"
    ConfigurationAction.ReadHead -> "read head"
    is ConfigurationAction.Report -> "report ${action.version}"
    is ConfigurationAction.ReadinessChanged -> "ready ${action.isReady}"
    is ConfigurationAction.SendDocument -> "send ${action.document.version}"
}

private fun run(script: List<At>): List<String> {
    val filter = ConfigurationFilter()
    return script.runningFold(ConfigurationState() to emptyList<String>()) { (state, _), at ->
        val step = filter.step(state, at.event, at.seconds.seconds)
        step.state to step.actions.map(::describe)
    }.flatMap { it.second }
}

class ConfigurationFilterTest :
    FunSpec({
        context("a node adopts only higher versions") {
            withData(
                case(
                    "a new node is ready once it has adopted a configuration",
                    *started,
                    then = startedActions,
                ),
                case(
                    "the store returns an outdated head",
                    *started,
                    At(12, Tick),
                    At(12, HeadRead(2)),
                    then = startedActions + "read head",
                ),
                case(
                    "the store and a peer send older documents",
                    *started,
                    At(1, DocumentRead(document(2))),
                    At(1, PeerDocument(document(1))),
                    then = startedActions,
                ),
                case(
                    "a peer announces a higher version: the store is read at once",
                    *started,
                    peerHas(1, version = 4),
                    At(1, HeadRead(4)),
                    At(1, DocumentRead(document(4))),
                    then = startedActions + listOf("read head", "read 4", "adopt 4", "announce 4"),
                ),
                case(
                    "a command names a higher version: the store is read at once",
                    *started,
                    At(1, VersionAccepted(4)),
                    At(1, HeadRead(4)),
                    then = startedActions + listOf("read head", "read 4"),
                ),
                case(
                    "the report for operators is not stored: it is repeated",
                    *adopted,
                    At(0, ReportCompleted(version = 3, isStored = false)),
                    At(2, Tick),
                    then = startedActions + "report 3",
                ),
                case(
                    "a peer has an older version: the version here is announced",
                    *started,
                    peerHas(1, version = 2),
                    then = startedActions + "announce 3",
                ),
                case(
                    "the store fails: the peer is asked for the document",
                    *started,
                    peerHas(1, version = 4),
                    At(2, StoreFailed),
                    At(2, PeerDocument(document(4))),
                    then = startedActions + listOf("read head", "ask p", "adopt 4", "announce 4"),
                ),
                case(
                    "the store returns an outdated head after an announcement: it is read again",
                    *started,
                    peerHas(1, version = 4),
                    At(1, HeadRead(3)),
                    At(2, Tick),
                    At(2, HeadRead(4)),
                    then = startedActions + listOf("read head", "read head", "read 4"),
                ),
            )
        }

        context("a node without contact, or without a known version, takes no new work") {
            withData(
                case(
                    "isolated for the timeout, then in contact again",
                    *started,
                    At(12, Tick),
                    At(13, StoreFailed),
                    At(14, Tick),
                    At(20, HeadRead(3)),
                    then = startedActions +
                        listOf("read head", "read head", "ready false", "ready true"),
                ),
                case(
                    "contact with a peer is enough while the store fails",
                    *started,
                    At(12, Tick),
                    At(13, StoreFailed),
                    peerHas(13, version = 3),
                    At(14, Tick),
                    then = startedActions + listOf("read head", "read head"),
                ),
                case(
                    "a known higher version cannot be read within the timeout",
                    *started,
                    peerHas(1, version = 4),
                    At(2, StoreFailed),
                    peerHas(8, version = 4),
                    peerHas(15, version = 4),
                    then = startedActions + listOf("read head", "ask p", "ready false"),
                ),
                case(
                    "no configuration was ever adopted",
                    At(0, Tick),
                    At(1, HeadRead(0)),
                    At(1, Tick),
                    then = listOf("read head"),
                ),
            )
        }
    })

private suspend fun FunSpecContainerScope.withData(vararg cases: ScriptCase) =
    withData(cases.toList()) { case -> run(case.script) shouldBe case.actions }
