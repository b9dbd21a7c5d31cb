package org.bilberrycart.bench.traffic

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import org.bilberrycart.standins.engine.TokenSource
import org.bilberrycart.standins.engine.expectedLength

private val source = TokenSource("p", "m")
private const val MAX_TOKENS = 8
private val length = expectedLength(source, MAX_TOKENS)

private data class AnswerCase(
    val name: String,
    val indexes: List<Int>,
    val missing: Int = 0,
    val repeated: Int = 0,
    val foreign: Int = 0,
    val isWhole: Boolean = false,
    val text: (Int) -> String = source::token,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

class AnswerProgressTest :
    FunSpec({
        val whole = (0 until length).toList()

        context("the faults of an answer are counted when") {
            withData(
                AnswerCase("it is whole", whole, isWhole = true),
                AnswerCase("it is empty", emptyList(), missing = length),
                AnswerCase("its last token is missing", whole.dropLast(1), missing = 1),
                AnswerCase("its first token is missing", whole.drop(1), missing = 1),
                AnswerCase("a token is left out", whole - 2, missing = 1),
                AnswerCase("a token comes twice", listOf(0) + whole, repeated = 1),
                AnswerCase(
                    "it repeats earlier tokens at its end",
                    whole + listOf(1, 2),
                    repeated = 2,
                ),
                AnswerCase("it has a token too many", whole + length, foreign = 1),
                AnswerCase("a token is of another generation", whole, foreign = 1) {
                    if (it == 1) TokenSource("q", "m").token(it) else source.token(it)
                },
                AnswerCase("a token has the text of another index", whole, foreign = 1) {
                    source.token(if (it == 1) 2 else it)
                },
            ) { case ->
                val end = case.indexes
                    .fold(AnswerProgress(source, MAX_TOKENS)) { progress, i ->
                        progress.withToken(i, case.text(i))
                    }
                    .withEnd()
                end.missing shouldBe case.missing
                end.repeated shouldBe case.repeated
                end.foreign shouldBe case.foreign
                end.isWhole shouldBe case.isWhole
            }
        }
    })
