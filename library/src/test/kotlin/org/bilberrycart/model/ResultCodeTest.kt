package org.bilberrycart.model

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeUnique
import io.kotest.matchers.shouldBe
import java.nio.file.Path
import kotlin.io.path.readLines

private val ROW = Regex("""\| \d{4} \| .*""")

private fun rowOf(code: ResultCode): String = with(code) {
    "| $number | $name | $status | ${if (retryable) "yes" else "no"} | $meaning |"
}

class ResultCodeTest :
    FunSpec({
        test("docs/RESULT-CODES.md lists all result codes and no others") {
            Path.of("../docs/RESULT-CODES.md").readLines().filter(ROW::matches) shouldBe
                ResultCode.entries.map(::rowOf)
        }

        test("result code numbers are unique") {
            ResultCode.entries.map { it.number }.shouldBeUnique()
        }
    })
