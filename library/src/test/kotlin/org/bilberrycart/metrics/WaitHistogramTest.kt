package org.bilberrycart.metrics

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeBetween
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.double
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import kotlin.math.ceil
import kotlin.time.Duration.Companion.milliseconds

private const val SEED = 20_261_204L

class WaitHistogramTest :
    FunSpec({
        test("a quantile is within one bucket of the exact quantile") {
            val waits = Arb.list(Arb.int(1..100_000), 1..200)
            checkAll(PropTestConfig(seed = SEED), waits, Arb.double(0.01, 1.0)) { millis, share ->
                val histogram = millis.fold(WaitHistogram()) { all, wait ->
                    all.add(wait.milliseconds)
                }
                val exact = millis.sorted()[ceil(share * millis.size).toInt() - 1].milliseconds
                (histogram.quantile(share) / exact).shouldBeBetween(0.99, 1.13, 0.0)
            }
        }
    })
