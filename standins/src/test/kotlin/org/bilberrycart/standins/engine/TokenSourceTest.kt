package org.bilberrycart.standins.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe

private data class OtherSourceCase(val difference: String, val other: TokenSource) :
    WithDataTestName {
    override fun dataTestName(): String = "a generation of another $difference"
}

private const val INDEXES = 1_000

class TokenSourceTest :
    FunSpec({
        val source = TokenSource(prompt = "season fixtures", model = "m")

        context("tokens differ at nearly every index from those of") {
            withData(
                OtherSourceCase("prompt", source.copy(prompt = "rule summary")),
                OtherSourceCase("model", source.copy(model = "n")),
                OtherSourceCase("adapter", source.copy(adapter = "a")),
                OtherSourceCase("version", source.copy(version = "2")),
                OtherSourceCase("seed", source.copy(seed = 1)),
            ) { case ->
                val equal = (0 until INDEXES).count { source.token(it) == case.other.token(it) }
                equal shouldBeLessThan 2
            }
        }

        test("no token of a generation is repeated at another index") {
            (0 until INDEXES).map(source::token).toSet().size shouldBe INDEXES
        }

        test("the length depends on the generation and keeps to the limit") {
            val lengths = (0 until INDEXES).map {
                expectedLength(source.copy(seed = it.toLong()), maxTokens = 100)
            }
            lengths.forEach { it shouldBeInRange 50..100 }
            lengths.toSet().size shouldBe 9
            expectedLength(source, maxTokens = 1) shouldBe 1
        }
    })
