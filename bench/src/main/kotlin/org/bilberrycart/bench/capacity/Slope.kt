package org.bilberrycart.bench.capacity

import kotlinx.serialization.Serializable

/** A measured value [y] at [x]. */
@Serializable
data class Point(val x: Double, val y: Double)

/**
 * A straight line fitted to measured points by the method of least squares.
 *
 * @property perUnit the slope of the line.
 * @property base the value of the line at 0.
 * @property r2 the coefficient of determination: the share of the variance that the line explains.
 */
@Serializable
data class Slope(val perUnit: Double, val base: Double, val r2: Double) {
    companion object {
        /** Fits a line to [points], which must be at least two. */
        fun fit(points: List<Point>): Slope {
            require(points.size > 1) { "a line needs at least two points, got ${points.size}" }
            val meanX = points.map { it.x }.average()
            val meanY = points.map { it.y }.average()
            val covariance = points.sumOf { (it.x - meanX) * (it.y - meanY) }
            val perUnit = covariance / points.sumOf { (it.x - meanX) * (it.x - meanX) }
            val base = meanY - perUnit * meanX
            val total = points.sumOf { (it.y - meanY) * (it.y - meanY) }
            val residual = points.sumOf { (it.y - base - perUnit * it.x).let { d -> d * d } }
            return Slope(perUnit, base, if (total == 0.0) 1.0 else 1 - residual / total)
        }
    }
}
