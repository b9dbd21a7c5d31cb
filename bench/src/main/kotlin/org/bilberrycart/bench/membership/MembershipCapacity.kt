package org.bilberrycart.bench.membership

import java.lang.management.ManagementFactory
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlinx.serialization.Serializable
import org.bilberrycart.bench.capacity.Point
import org.bilberrycart.bench.capacity.Slope
import org.bilberrycart.bench.capacity.usedBytes
import org.bilberrycart.model.VmId
import org.bilberrycart.peer.PeerCodec

/** Measures the cost of membership per node as a function of the size of the fleet. */
class MembershipCapacity(private val sizes: List<Int>, private val target: Int) {
    /**
     * The measured points and the straight lines fitted to them.
     *
     * @property predicted the values of the lines at the target size.
     * @property measured the result of a run at the target size.
     */
    @Serializable
    data class Report(
        val points: List<MembershipPoint>,
        val bytesFit: Slope,
        val coreFit: Slope,
        val heapFit: Slope,
        val predicted: Prediction,
        val measured: MembershipPoint,
    )

    /** The values that the fitted lines predict for the target size. */
    @Serializable
    data class Prediction(
        val members: Int,
        val bytesPerSecond: Double,
        val coreShare: Double,
        val heapBytes: Double,
    )

    /** Measures all sizes, one after the other, and the target size last. */
    fun run(): Report {
        measure(WARM_UP_SIZE)
        val points = sizes.map(::measure)
        val bytes = Slope.fit(points.map { Point(it.members.toDouble(), it.bytesPerSecond) })
        val core = Slope.fit(points.map { Point(it.members.toDouble(), it.coreShare) })
        val heap = Slope.fit(points.map { Point(it.members.toDouble(), it.heapBytes) })
        return Report(
            points = points,
            bytesFit = bytes,
            coreFit = core,
            heapFit = heap,
            predicted = Prediction(target, predict(bytes), predict(core), predict(heap)),
            measured = measure(target),
        )
    }

    private fun predict(slope: Slope): Double = slope.base + slope.perUnit * target

    private fun measure(members: Int): MembershipPoint {
        val heapBefore = usedBytes()
        val fleet = EmulatedFleet(MembershipFleetPlan(members))
        fleet.advance(JOIN_TIME)
        val heap = (usedBytes() - heapBefore).toDouble() / members
        val before = fleet.counts
        val cpuBefore = cpuTime()
        fleet.advance(STEADY_TIME)
        val nodeSeconds = members * STEADY_TIME.toDouble(DurationUnit.SECONDS)
        val core = (cpuTime() - cpuBefore).toDouble(DurationUnit.SECONDS) / nodeSeconds
        val messages = (fleet.counts.messages - before.messages) / nodeSeconds
        val links = (fleet.counts.links - before.links) / nodeSeconds
        val bytes = (fleet.counts.bytes - before.bytes) / nodeSeconds
        val times = detectionTimes(fleet, members)
        val faultyCounts = faultyFleetCounts(members)
        return MembershipPoint(
            members = members,
            messagesPerSecond = messages,
            linksPerSecond = links,
            bytesPerSecond = bytes + links * linkBytes(fleet),
            coreShare = core,
            heapBytes = heap,
            detectionP50 = percentile(times, P50),
            detectionP99 = percentile(times, P99),
            detectionsMissing = KILLS * (members - 1) - KILL_PAIRS - times.size,
            falseSuspicionsPerNodeHour = perNodeHour(faultyCounts.falseSuspicions, members),
            falseDeathsPerNodeHour = perNodeHour(faultyCounts.falseDeaths, members),
        )
    }

    /**
     * Returns the bytes that both ends send on one link besides messages: the handshakes, and
     * heartbeats until the link is closed as idle.
     */
    private fun linkBytes(fleet: EmulatedFleet): Int =
        2 * PeerCodec.handshakeBytes(fleet.states.values.first().self) + HEARTBEAT_BYTES

    /** Stops some nodes, one after the other, and returns the detection time of each other node. */
    private fun detectionTimes(fleet: EmulatedFleet, members: Int): List<Duration> =
        (1..KILLS).flatMap { number ->
            val vm = VmId("vm${1 + number * (members - 1) / KILLS}")
            val at = fleet.now
            fleet.stop(vm)
            fleet.advance(KILL_INTERVAL)
            fleet.detections.filterKeys { it.stopped == vm }.values.map { it - at }
        }

    private fun faultyFleetCounts(members: Int): FleetCounts {
        val plan =
            MembershipFleetPlan(
                members,
                seed = 2,
                lossShare = LOSS_SHARE,
                meanPauseInterval = 1.minutes,
            )
        val fleet = EmulatedFleet(plan)
        fleet.advance(JOIN_TIME)
        val before = fleet.counts
        fleet.advance(FAULTY_TIME)
        return fleet.counts.copy(
            falseSuspicions = fleet.counts.falseSuspicions - before.falseSuspicions,
            falseDeaths = fleet.counts.falseDeaths - before.falseDeaths,
        )
    }

    private fun perNodeHour(count: Long, members: Int): Double =
        count / (members * FAULTY_TIME.toDouble(DurationUnit.HOURS))

    private fun percentile(times: List<Duration>, share: Double): Double {
        if (times.isEmpty()) return Double.NaN
        val index = (ceil(times.size * share).toInt() - 1).coerceAtLeast(0)
        return times.sorted()[index].toDouble(DurationUnit.SECONDS)
    }

    private fun cpuTime(): Duration =
        ManagementFactory.getThreadMXBean().currentThreadCpuTime.seconds / NANOS_PER_SECOND

    private companion object {
        val JOIN_TIME = 60.seconds
        val STEADY_TIME = 60.seconds
        val KILL_INTERVAL = 40.seconds
        val FAULTY_TIME = 3.minutes
        const val KILLS = 3

        /**
         * The number of pairs of stopped nodes. In each pair, the node that was stopped first can't
         * detect the stop of the other one, so this detection is not missing.
         */
        const val KILL_PAIRS = 3
        const val WARM_UP_SIZE = 32
        const val LOSS_SHARE = 0.05
        const val P50 = 0.5
        const val P99 = 0.99
        const val NANOS_PER_SECOND = 1_000_000_000

        /** The size of ten heartbeats of four bytes from each end within a link's idle timeout. */
        const val HEARTBEAT_BYTES = 80
    }
}
