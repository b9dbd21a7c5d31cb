package org.bilberrycart.gateway.peers

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import org.bilberrycart.gateway.discovery.StoreVersion
import org.bilberrycart.gateway.discovery.TableEdition
import org.bilberrycart.gateway.model.PartReport
import org.bilberrycart.gateway.model.RetryUse

/** Enough nested starts of a text of indefinite length to overflow the stack of the decoder. */
private const val NESTED_BYTES = 60_000

class GossipCodecTest :
    FunSpec({
        test("an encoded message is decoded unchanged") {
            val sent = GossipMessage(
                sender = "a:1",
                incarnation = 7,
                sequence = 8,
                members = listOf("b:1"),
                loads = mapOf("u" to 2),
                lossAges = mapOf("v" to 30),
                editions = mapOf("T" to TableEdition(7, StoreVersion(era = 8, number = 9))),
                crashes = mapOf(-3L to listOf("v")),
                retries = mapOf("s" to RetryUse(firstDispatches = 4, retries = 1)),
                parts = PartReport(
                    crashes = listOf(PartReport.CrashReport("v", ageMillis = 5, listOf("p", "q"))),
                    answerAges = mapOf("p" to 6),
                    blockedAges = mapOf("q" to 7),
                ),
                configurationAge = 8,
            )
            GossipCodec.decodeMessage(GossipCodec.encode(sent)) shouldBe sent
        }

        context("malformed bytes are decoded as null") {
            val whole = GossipCodec.encode(GossipMessage("a:1", incarnation = 7, sequence = 8))
            val nested = ByteArray(NESTED_BYTES) { 0x7f }
            withData(
                nameFn = { "${it.size} bytes" },
                listOf(ByteArray(0), ByteArray(9), whole.copyOf(whole.size - 3), nested),
            ) { GossipCodec.decodeMessage(it) shouldBe null }
        }
    })
