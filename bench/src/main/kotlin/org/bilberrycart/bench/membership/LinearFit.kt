package org.bilberrycart.bench.membership

import kotlinx.serialization.Serializable

/** The least-squares line through some points. */
@Serializable
data class LinearFit(val intercept: Double, val slope: Double) {
    /** Returns the value of the line at [size]. */
    fun at(size: Int): Double = intercept + slope * size

    /** A measured [value] at some [size]. */
    data class Point(val size: Int, val value: Double)

    companion object {
        /** Fits a line to at least two [points] of different sizes. */
        fun of(points: List<Point>): LinearFit {
            val meanSize = points.map { it.size }.average()
            val meanValue = points.map { it.value }.average()
            val spread = points.sumOf { (it.size - meanSize) * (it.size - meanSize) }
            require(spread > 0) { "a line needs points of different sizes, got $points" }
            val slope = points.sumOf { (it.size - meanSize) * (it.value - meanValue) } / spread
            return LinearFit(meanValue - slope * meanSize, slope)
        }
    }
}
