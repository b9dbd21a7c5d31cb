package org.bilberrycart.bench.capacity

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.shouldBe

private data class SlopeCase(val ys: List<Double>, val fitted: Slope) : WithDataTestName {
    override fun dataTestName(): String = "$ys"
}

class SlopeTest :
    FunSpec({
        context("a line is fitted through points at 0, 1, 2 and 3") {
            withData(
                SlopeCase(listOf(1.0, 3.0, 5.0, 7.0), Slope(perUnit = 2.0, base = 1.0, r2 = 1.0)),
                SlopeCase(listOf(4.0, 4.0, 4.0, 4.0), Slope(perUnit = 0.0, base = 4.0, r2 = 1.0)),
                SlopeCase(listOf(0.0, 2.0, 0.0, 2.0), Slope(perUnit = 0.4, base = 0.4, r2 = 0.2)),
            ) { case ->
                val found = Slope.fit(case.ys.mapIndexed { x, y -> Point(x.toDouble(), y) })
                found.perUnit shouldBe (case.fitted.perUnit plusOrMinus 1e-9)
                found.base shouldBe (case.fitted.base plusOrMinus 1e-9)
                found.r2 shouldBe (case.fitted.r2 plusOrMinus 1e-9)
            }
        }
    })
