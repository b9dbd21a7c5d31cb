package org.bilberrycart.daemon

import com.github.ajalt.mordant.terminal.Terminal
import com.github.ajalt.mordant.terminal.TerminalRecorder
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.string.shouldMatch
import org.bilberrycart.metrics.StatusReport
import org.bilberrycart.metrics.WaitCause
import org.bilberrycart.metrics.WaitingGroup
import org.bilberrycart.model.DataCentreId
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.RequestClass
import org.bilberrycart.model.ServiceId
import org.bilberrycart.model.VmId

private val group = WaitingGroup(
    organisation = OrganisationId("club"),
    service = ServiceId("drafts"),
    requestClass = RequestClass.LONG_DRAFT,
    cause = WaitCause.RESUME,
    requests = 3,
    longestMillis = 250,
)
private val report = StatusReport(
    vm = VmId("vm-1"),
    dataCentre = DataCentreId("dc-1"),
    readiness = "ready",
    uptimeMillis = 1,
    waiting = listOf(group, group.copy(cause = WaitCause.CALLER, longestMillis = 900)),
)

private data class ViewCase(val name: String, val view: TopView, val pattern: String) :
    WithDataTestName {
    override fun dataTestName(): String = name
}

class TopTableTest :
    FunSpec({
        context("the table lists waiting requests by cause, the longest wait first") {
            withData(
                ViewCase(
                    "a node",
                    TopView.Reachable(report),
                    "(?s).*club.*caller.*900.*resume.*250.*",
                ),
                ViewCase(
                    "a node that does not answer",
                    TopView.Unreachable("http://127.0.0.1:1", "refused"),
                    "(?s).*127.0.0.1:1: refused.*",
                ),
            ) { case ->
                val recorder = TerminalRecorder(width = 120)
                Terminal(terminalInterface = recorder).println(TopTable.of(case.view))
                recorder.stdout() shouldMatch case.pattern
            }
        }
    })
