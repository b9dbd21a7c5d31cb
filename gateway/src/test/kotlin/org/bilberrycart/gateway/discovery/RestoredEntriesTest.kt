package org.bilberrycart.gateway.discovery

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.gateway.discovery.RestoreFixture.FIRST
import org.bilberrycart.gateway.discovery.RestoreFixture.FOURTH
import org.bilberrycart.gateway.discovery.RestoreFixture.SECOND
import org.bilberrycart.gateway.discovery.RestoreFixture.THIRD
import org.bilberrycart.gateway.discovery.RestoreFixture.answer
import org.bilberrycart.gateway.discovery.RestoreFixture.changes
import org.bilberrycart.gateway.discovery.RestoreFixture.noRows
import org.bilberrycart.gateway.discovery.RestoreFixture.page
import org.bilberrycart.gateway.discovery.RestoreFixture.play

class RestoredEntriesTest :
    FunSpec({
        val upstreams = page(era = 1, number = 32, "a ready 100", "b ready 100")
        val aLeaves = changes(era = 1, number = 33, "a leaving 100")
        val aIsGone = changes(era = 1, number = 34, "a removed")

        // Guards against calls to upstreams that are known to leave or to have left (DRAIN).
        context("entries of upstreams that come back with an older copy") {
            withData(
                RestoreCase(
                    "are not ready if their process is known to leave",
                    StoreTable.UPSTREAMS,
                    listOf(
                        answer(FIRST, upstreams),
                        answer(SECOND, aLeaves),
                        answer(THIRD, page(era = 2, number = 32, "a ready 100", "b ready 100")),
                    ),
                    published = listOf("a leaving 100", "b ready 100"),
                ),
                RestoreCase(
                    "are not those of a process that another one has followed",
                    StoreTable.UPSTREAMS,
                    listOf(
                        answer(FIRST, upstreams),
                        answer(SECOND, changes(era = 1, number = 33, "a ready 200")),
                        answer(THIRD, page(era = 2, number = 32, "a ready 100", "b ready 100")),
                    ),
                    published = listOf("a ready 200", "b ready 100"),
                ),
                RestoreCase(
                    "are ready if another process follows the one that is known to leave",
                    StoreTable.UPSTREAMS,
                    listOf(
                        answer(FIRST, upstreams),
                        answer(SECOND, aLeaves),
                        answer(THIRD, page(era = 2, number = 32, "a ready 300", "b ready 100")),
                    ),
                    published = listOf("a ready 300", "b ready 100"),
                ),
                RestoreCase(
                    "are withheld if their process is known to have left",
                    StoreTable.UPSTREAMS,
                    listOf(
                        answer(FIRST, upstreams),
                        answer(SECOND, aIsGone),
                        answer(THIRD, page(era = 2, number = 32, "a ready 100", "b ready 100")),
                    ),
                    published = listOf("b ready 100"),
                ),
                RestoreCase(
                    "are withheld also when the store drops them",
                    StoreTable.UPSTREAMS,
                    listOf(
                        answer(FIRST, upstreams),
                        answer(SECOND, aIsGone),
                        answer(THIRD, page(era = 2, number = 32, "a ready 100", "b ready 100")),
                        answer(FOURTH, changes(era = 2, number = 33, "a removed")),
                    ),
                    published = listOf("b ready 100"),
                ),
                RestoreCase(
                    "are published when their process writes them again",
                    StoreTable.UPSTREAMS,
                    listOf(
                        answer(FIRST, upstreams),
                        answer(SECOND, aIsGone),
                        answer(THIRD, page(era = 2, number = 32, "a ready 100", "b ready 100")),
                        answer(FOURTH, changes(era = 2, number = 33, "a ready 100")),
                    ),
                    published = listOf("a ready 100", "b ready 100"),
                ),
                RestoreCase(
                    "are published when the store has kept them for long",
                    StoreTable.UPSTREAMS,
                    listOf(
                        answer(FIRST, upstreams),
                        answer(SECOND, aIsGone),
                        answer(THIRD, page(era = 2, number = 32, "a ready 100", "b ready 100")),
                        answer(8.9.seconds, changes(era = 2, number = 33, rows = noRows)),
                        Happening.Tick(9.seconds),
                    ),
                    published = listOf("a ready 100", "b ready 100"),
                ),
                RestoreCase(
                    "are published if another process has the id",
                    StoreTable.UPSTREAMS,
                    listOf(
                        answer(FIRST, upstreams),
                        answer(SECOND, aIsGone),
                        answer(THIRD, page(era = 2, number = 32, "a ready 300", "b ready 100")),
                    ),
                    published = listOf("a ready 300", "b ready 100"),
                ),
                RestoreCase(
                    "are missed for a while if they are newer than the copy",
                    StoreTable.UPSTREAMS,
                    listOf(
                        answer(FIRST, upstreams),
                        answer(SECOND, page(era = 2, number = 20, "a ready 100")),
                    ),
                    published = listOf("a ready 100", "b ready 100"),
                ),
                RestoreCase(
                    "are taken as gone when they don't return",
                    StoreTable.UPSTREAMS,
                    listOf(
                        answer(FIRST, upstreams),
                        answer(SECOND, page(era = 2, number = 20, "a ready 100")),
                        answer(4.1.seconds, changes(era = 2, number = 21, rows = noRows)),
                        Happening.Tick(4.3.seconds),
                    ),
                    published = listOf("a ready 100"),
                ),
            ) { case -> play(case).first shouldBe case.published }
        }
    })
