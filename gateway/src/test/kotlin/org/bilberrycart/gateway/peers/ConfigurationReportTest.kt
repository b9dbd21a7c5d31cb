package org.bilberrycart.gateway.peers

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentSetOf
import org.bilberrycart.gateway.discovery.StoreVersion
import org.bilberrycart.gateway.discovery.TableEdition
import org.bilberrycart.gateway.model.ConfigurationStatus

/**
 * A node at version 5 of its configuration, confirmed at second 2, that hears a peer at second 10.
 *
 * @property version the version of the peer.
 * @property age how long ago the store confirmed it to the peer.
 * @property isSuperseded what the node learns, with [confirmedAt] as the time of confirmation.
 */
private data class ReportCase(
    val name: String,
    val version: Long,
    val age: Duration?,
    val isSuperseded: Boolean = false,
    val confirmedAt: Duration,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

private fun edition(configuration: Long) =
    TableEdition(configuration, changedAt = StoreVersion(era = 0, number = configuration))

private const val TABLE = "T"
private val HEARD_AT = 10.seconds
private val own = TableStatus(TABLE, edition(5), confirmedAt = 2.seconds)
private val tick = PeersEvent.Tick(
    loads = emptyMap(),
    lossAges = emptyMap(),
    editions = mapOf(TABLE to edition(5)),
    configuration = own,
)

private fun message(case: ReportCase) = GossipMessage(
    sender = "a:1",
    incarnation = 1,
    sequence = 1,
    editions = mapOf(TABLE to edition(case.version)),
    configurationAge = case.age?.inWholeMilliseconds?.toInt(),
)

class ConfigurationReportTest :
    FunSpec({
        // Guards against a node that takes the store's word to a peer for its own older version.
        context("the status of a configuration follows from the store and the peers") {
            withData(
                ReportCase("the same version", 5, 3.seconds, confirmedAt = 7.seconds),
                ReportCase("an older version", 4, 3.seconds, confirmedAt = 7.seconds),
                ReportCase("a confirmation before the own", 5, 9.seconds, confirmedAt = 2.seconds),
                ReportCase("no confirmation", 5, null, confirmedAt = 2.seconds),
                ReportCase(
                    "a newer version",
                    6,
                    3.seconds,
                    isSuperseded = true,
                    confirmedAt = 2.seconds,
                ),
            ) { case ->
                val filter = PeersFilter()
                val first = PeersState("me:1", incarnation = 5)
                val heard = filter.step(first, PeersEvent.Received(message(case)), HEARD_AT).state
                val told = filter.step(heard, tick, HEARD_AT + 20.milliseconds).state
                told.summary.configuration shouldBe
                    ConfigurationStatus(case.isSuperseded, case.confirmedAt)
            }
        }

        test("a node tells its peers how long ago the store confirmed its configuration") {
            val filter = PeersFilter()
            val first = PeersState("me:1", incarnation = 5, persistentSetOf("a:1"))
            val sent = filter.step(first, tick, HEARD_AT).actions
                .filterIsInstance<PeersAction.Send>().single()
            sent.message.configurationAge shouldBe 8000
        }
    })
