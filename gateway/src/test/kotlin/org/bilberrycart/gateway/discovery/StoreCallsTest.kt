package org.bilberrycart.gateway.discovery

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The patience with the store after [unanswered] calls in a row, the first of which is answered
 * late, after [lateAnswer].
 */
private data class PatienceCase(
    val name: String,
    val unanswered: Int,
    val lateAnswer: Duration?,
    val patience: Duration,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

class StoreCallsTest :
    FunSpec({
        val settings = DiscoverySettings(applyTime = 2.seconds, contactTime = 3.seconds)
        val calls = StoreCalls(settings)

        fun giveUp(feed: TableFeed): TableFeed {
            val version = StoreVersion(era = 0, number = 1)
            val started = calls.follow(
                StoreTable.CONFIGURATION,
                feed,
                version,
                Duration.ZERO,
                peers = 3,
            )
            return calls.givenUp(started.feed, started.feed.call!!)
        }

        // Guards against a node that notices late that the store is back (CONFIG).
        withData(
            PatienceCase("one call without an answer", 1, lateAnswer = null, 0.8.seconds),
            PatienceCase("many calls without an answer", 9, lateAnswer = null, 1.seconds),
            PatienceCase("a store that answers late", 2, lateAnswer = 2.4.seconds, 2.seconds),
            PatienceCase("a store that answers very late", 2, lateAnswer = 5.4.seconds, 6.seconds),
        ) { case ->
            val silent = (1..case.unanswered).fold(TableFeed()) { feed, _ -> giveUp(feed) }
            val first = silent.givenUpCalls.first().number
            val feed = case.lateAnswer?.let { calls.answeredLate(silent, first, it) } ?: silent
            feed.patience shouldBe case.patience
        }
    })
