package org.bilberrycart.gateway.discovery

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.gateway.discovery.RestoreFixture.FIRST
import org.bilberrycart.gateway.discovery.RestoreFixture.SECOND
import org.bilberrycart.gateway.discovery.RestoreFixture.THIRD
import org.bilberrycart.gateway.discovery.RestoreFixture.answer
import org.bilberrycart.gateway.discovery.RestoreFixture.changes
import org.bilberrycart.gateway.discovery.RestoreFixture.edition
import org.bilberrycart.gateway.discovery.RestoreFixture.noRows
import org.bilberrycart.gateway.discovery.RestoreFixture.page
import org.bilberrycart.gateway.discovery.RestoreFixture.play

class RestoredStoreTest :
    FunSpec({
        val configuration = page(era = 1, number = 32, "config configuration 13")
        val upstreams = page(era = 1, number = 32, "a ready 100", "b ready 100")
        val newEra = changes(era = 2, number = 40, rows = noRows)

        // Guards against a change that a restored store gives a version known from before (CONFIG).
        context("a store that comes back from an older copy") {
            withData(
                RestoreCase(
                    "is read as a whole if its versions have passed the known one",
                    StoreTable.CONFIGURATION,
                    listOf(answer(FIRST, configuration), answer(SECOND, newEra)),
                    published = listOf("config configuration 13"),
                    next = "read from null",
                ),
                RestoreCase(
                    "is read as a whole if its version is the known one",
                    StoreTable.CONFIGURATION,
                    listOf(
                        answer(FIRST, configuration),
                        answer(SECOND, changes(era = 2, number = 32, rows = noRows)),
                    ),
                    published = listOf("config configuration 13"),
                    next = "read from null",
                ),
                RestoreCase(
                    "is read as a whole if its version is below the known one",
                    StoreTable.CONFIGURATION,
                    listOf(
                        answer(FIRST, configuration),
                        answer(SECOND, changes(era = 2, number = 31, rows = noRows)),
                    ),
                    published = listOf("config configuration 13"),
                    next = "read from null",
                ),
                RestoreCase(
                    "is followed from its own version",
                    StoreTable.CONFIGURATION,
                    listOf(
                        answer(FIRST, configuration),
                        answer(SECOND, TableReply.HistoryLost),
                        answer(SECOND, page(era = 2, number = 31, "config configuration 13")),
                    ),
                    published = listOf("config configuration 13"),
                    next = "follow 2/31",
                ),
                RestoreCase(
                    "has its change published, whose version was known before",
                    StoreTable.CONFIGURATION,
                    listOf(
                        answer(FIRST, configuration),
                        answer(SECOND, TableReply.HistoryLost),
                        answer(SECOND, page(era = 2, number = 31, "config configuration 13")),
                        answer(THIRD, changes(era = 2, number = 32, "config configuration 16")),
                    ),
                    published = listOf("config configuration 16"),
                    next = "follow 2/32",
                ),
                RestoreCase(
                    "is read from the start if it is restored between two pages",
                    StoreTable.UPSTREAMS,
                    listOf(
                        answer(FIRST, upstreams),
                        answer(SECOND, TableReply.HistoryLost),
                        answer(SECOND, page(era = 2, number = 31, "a ready 100", next = "b")),
                        answer(THIRD, page(era = 3, number = 30, "b ready 100")),
                    ),
                    published = listOf("a ready 100", "b ready 100"),
                    next = "read from null",
                ),
                RestoreCase(
                    "and again from an older one is read as a whole again",
                    StoreTable.CONFIGURATION,
                    listOf(
                        answer(FIRST, configuration),
                        answer(SECOND, page(era = 2, number = 31, "config configuration 13")),
                        answer(THIRD, changes(era = 3, number = 31, rows = noRows)),
                    ),
                    published = listOf("config configuration 13"),
                    next = "read from null",
                ),
                RestoreCase(
                    "is not taken back by a late answer of the former era",
                    StoreTable.CONFIGURATION,
                    listOf(
                        answer(FIRST, configuration),
                        Happening.Copy(
                            SECOND,
                            page(era = 2, number = 31, "config configuration 16"),
                        ),
                        answer(THIRD, changes(era = 1, number = 33, "config configuration 13")),
                    ),
                    published = listOf("config configuration 16"),
                    next = "follow 2/31",
                ),
            ) { case ->
                val (published, next) = play(case)
                published shouldBe case.published
                next shouldBe case.next
            }
        }

        // Guards against a configuration that goes back with the store, or is kept back (CONFIG).
        context("the newest configuration that is known") {
            withData(
                RestoreCase(
                    "is kept when a restored store holds an older one",
                    StoreTable.CONFIGURATION,
                    listOf(
                        answer(FIRST, configuration),
                        answer(SECOND, page(era = 2, number = 30, "config configuration 6")),
                    ),
                    published = listOf("config configuration 13"),
                ),
                RestoreCase(
                    "is kept when the operator writes older ones again",
                    StoreTable.CONFIGURATION,
                    listOf(
                        answer(FIRST, configuration),
                        answer(SECOND, page(era = 2, number = 30, "config configuration 6")),
                        answer(THIRD, changes(era = 2, number = 31, "config configuration 10")),
                    ),
                    published = listOf("config configuration 13"),
                ),
                RestoreCase(
                    "is taken from a peer of the former era by a node that has just started",
                    StoreTable.CONFIGURATION,
                    listOf(
                        answer(FIRST, page(era = 2, number = 30, "config configuration 6")),
                        Happening.Copy(SECOND, configuration),
                    ),
                    published = listOf("config configuration 13"),
                ),
                RestoreCase(
                    "is asked for at such a peer",
                    StoreTable.CONFIGURATION,
                    listOf(
                        answer(FIRST, page(era = 2, number = 30, "config configuration 6")),
                        Happening.Report(FIRST, edition(13, era = 1, number = 32)),
                        Happening.Tick(FIRST + 0.2.seconds),
                    ),
                    published = listOf("config configuration 6"),
                    next = "ask a peer",
                ),
                RestoreCase(
                    "is not given up for a peer's older one of a later era",
                    StoreTable.CONFIGURATION,
                    listOf(
                        answer(FIRST, configuration),
                        Happening.Copy(
                            SECOND,
                            page(era = 2, number = 30, "config configuration 6"),
                        ),
                    ),
                    published = listOf("config configuration 13"),
                ),
                RestoreCase(
                    "is followed on in the new era after a copy of a peer of the former one",
                    StoreTable.CONFIGURATION,
                    listOf(
                        answer(FIRST, page(era = 2, number = 30, "config configuration 6")),
                        Happening.Copy(SECOND, configuration),
                        answer(THIRD, changes(era = 2, number = 31, "config configuration 16")),
                    ),
                    published = listOf("config configuration 16"),
                    next = "follow 2/31",
                ),
            ) { case ->
                val (published, next) = play(case)
                published shouldBe case.published
                if (case.next != null) next shouldBe case.next
            }
        }
    })
