package org.bilberrycart.gateway.discovery

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlinx.collections.immutable.toPersistentMap
import org.bilberrycart.gateway.model.Body

/** The version of the last change that a node tells its peers after it has read a whole table. */
private data class LastChangeCase(
    val name: String,
    val before: List<StoreRow>,
    val read: List<StoreRow>,
    val version: Long,
    val lastChange: Long,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

private fun version(number: Long) = StoreVersion(era = 0, number)

private fun row(key: String, version: Long) = StoreRow(key, Body.of(key), version(version))

private fun TableFeed.after(rows: List<StoreRow>, version: Long): TableFeed =
    TableMerge(RowOrder(TestRows)).wholeTable(
        StoreTable.UPSTREAMS,
        feed = this,
        rows = rows.associateBy { it.key }.toPersistentMap(),
        version = version(version),
        now = Duration.ZERO,
    )

class TableFeedTest :
    FunSpec({
        // Guards against peers that keep a row since nobody tells them of its removal (CONFIG).
        context("the last change that a whole read shows") {
            val before = listOf(row("a", 5), row("b", 7))
            withData(
                LastChangeCase("none", before, before, version = 9, lastChange = 7),
                LastChangeCase("a change", before, listOf(row("a", 8), row("b", 7)), 9, 8),
                LastChangeCase("a removal", before, listOf(row("a", 5)), 9, 9),
                LastChangeCase("the first read", emptyList(), before, 9, 7),
            ) { case ->
                TableFeed().after(case.before, version = 7).after(case.read, case.version)
                    .edition!!.changedAt shouldBe version(case.lastChange)
            }
        }
    })
