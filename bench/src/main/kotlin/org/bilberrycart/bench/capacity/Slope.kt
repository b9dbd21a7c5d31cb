package org.bilberrycart.bench.capacity

import kotlinx.serialization.Serializable

/** One measured value [y] at [x]. */
@Serializable
data class Point(val x: Double, val y: Double)

/**
 * A straight line through measured points, by least squares.
 *
 * @property r2 the share of the variance that the line explains.
 */
@Serializable
data class Slope(val perUnit: Double, val base: Double, val r2: Double) {
    companion object {
        /** Fits a line through [points]. */
        fun fit(points: List<Point>): Slope {
            require(points.size > 1) { "a line needs two points, got ${points.size}" }
            val meanX = points.map { it.x }.average()
            val meanY = points.map { it.y }.average()
            val covariance = points.sumOf { (it.x - meanX) * (it.y - meanY) }
            val perUnit = covariance / points.sumOf { (it.x - meanX) * (it.x - meanX) }
            val base = meanY - perUnit * meanX
            val total = points.sumOf { (it.y - meanY) * (it.y - meanY) }
            val rest = points.sumOf { (it.y - base - perUnit * it.x).let { d -> d * d } }
            return Slope(perUnit, base, if (total == 0.0) 1.0 else 1 - rest / total)
        }
    }
}
