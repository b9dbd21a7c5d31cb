package org.bilberrycart.bench.traffic

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeBetween
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.model.RequestClass

class MeterTest :
    FunSpec({
        test("quantiles are also kept for the worst minute and for each request class") {
            val meter = Meter()
            repeat(1_000) {
                meter.sample(
                    TrafficMeasure.FIRST_TOKEN,
                    RequestClass.CHECK,
                    at = 1.seconds,
                    value = 1.milliseconds,
                )
            }
            repeat(5) {
                meter.sample(
                    TrafficMeasure.FIRST_TOKEN,
                    RequestClass.LONG_DRAFT,
                    at = 1.minutes,
                    value = 900.milliseconds,
                )
            }
            meter.close()
            val all = meter.quantiles(TrafficMeasure.FIRST_TOKEN)
            all.count shouldBe 1_005
            all.p99.shouldBeBetween(1.0, 1.0, 0.01)
            all.worstMinuteP99.shouldBeBetween(900.0, 900.0, 1.0)
            meter.quantiles(TrafficMeasure.FIRST_TOKEN, listOf(RequestClass.CHECK))
                .worstMinuteP99.shouldBeBetween(1.0, 1.0, 0.01)
            meter.quantiles(TrafficMeasure.RESUME).count shouldBe 0
        }

        test("samples outside the window are dropped") {
            val meter = Meter(window = 10.seconds..20.seconds)
            listOf(9, 10, 20, 21).forEach {
                val at = it.seconds
                meter.sample(TrafficMeasure.TRANSIT, RequestClass.CHECK, at, value = 1.milliseconds)
            }
            meter.close()
            meter.quantiles(TrafficMeasure.TRANSIT).count shouldBe 2
        }
    })
