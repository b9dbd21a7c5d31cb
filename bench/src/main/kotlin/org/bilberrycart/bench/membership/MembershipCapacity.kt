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

/** Measures the cost of membership for a node, by the size of its fleet. */
class MembershipCapacity(private val sizes: List<Int>, private val target: Int) {
    /**
     * The measured points and the straight line through them.
     *
     * @property predicted the figures that the line gives at the target size.
     * @property measured a run at the target size itself.
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

    /** The figures at the target size. */
    @Serializable
    data class Prediction(
        val members: Int,
        val bytesPerSecond: Double,
        val coreShare: Double,
        val heapBytes: Double,
    )

    /** Runs all sizes, one after the other. */
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
            predicted = Prediction(target, at(bytes), at(core), at(heap)),
            measured = measure(target),
        )
    }

    private fun at(slope: Slope): Double = slope.base + slope.perUnit * target

    private fun measure(members: Int): MembershipPoint {
        val heapBefore = usedBytes()
        val fleet = EmulatedFleet(FleetPlan(members))
        fleet.run(JOIN_TIME)
        val heap = (usedBytes() - heapBefore).toDouble() / members
        val before = fleet.counts
        val cpuBefore = cpuTime()
        fleet.run(STEADY_TIME)
        val nodeSeconds = members * STEADY_TIME.toDouble(DurationUnit.SECONDS)
        val core = (cpuTime() - cpuBefore).toDouble(DurationUnit.SECONDS) / nodeSeconds
        val messages = (fleet.counts.messages - before.messages) / nodeSeconds
        val links = (fleet.counts.links - before.links) / nodeSeconds
        val bytes = (fleet.counts.bytes - before.bytes) / nodeSeconds
        val times = detections(fleet, members)
        val rough = roughFleet(members)
        return MembershipPoint(
            members = members,
            messagesPerSecond = messages,
            linksPerSecond = links,
            bytesPerSecond = bytes + links * linkBytes(fleet),
            coreShare = core,
            heapBytes = heap,
            detectionP50 = percentile(times, MEDIAN),
            detectionP99 = percentile(times, TAIL),
            detectionsMissing = KILLS * (members - 1) - KILL_PAIRS - times.size,
            falseSuspicionsPerNodeHour = perNodeHour(rough.falseSuspicions, members),
            falseDeathsPerNodeHour = perNodeHour(rough.falseDeaths, members),
        )
    }

    /** Bytes of both ends for one link: the handshake, and heartbeats until it is idle. */
    private fun linkBytes(fleet: EmulatedFleet): Int =
        2 * PeerCodec.handshakeBytes(fleet.states.values.first().self) + HEARTBEAT_BYTES

    /** Kills some nodes, one after the other, and returns when each other one knew. */
    private fun detections(fleet: EmulatedFleet, members: Int): List<Duration> =
        (1..KILLS).flatMap { number ->
            val vm = VmId("vm${1 + number * (members - 1) / KILLS}")
            val at = fleet.now
            fleet.stop(vm)
            fleet.run(KILL_GAP)
            fleet.detections.filterKeys { it.stopped == vm }.values.map { it - at }
        }

    private fun roughFleet(members: Int): FleetCounts {
        val plan = FleetPlan(members, seed = 2, loss = LOSS, pauseEvery = 1.minutes)
        val fleet = EmulatedFleet(plan)
        fleet.run(JOIN_TIME)
        val before = fleet.counts
        fleet.run(ROUGH_TIME)
        return fleet.counts.copy(
            falseSuspicions = fleet.counts.falseSuspicions - before.falseSuspicions,
            falseDeaths = fleet.counts.falseDeaths - before.falseDeaths,
        )
    }

    private fun perNodeHour(count: Long, members: Int): Double =
        count / (members * ROUGH_TIME.toDouble(DurationUnit.HOURS))

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
        val KILL_GAP = 40.seconds
        val ROUGH_TIME = 3.minutes
        const val KILLS = 3

        /** Pairs of killed nodes, of which neither can learn of the other once both are dead. */
        const val KILL_PAIRS = 3
        const val WARM_UP_SIZE = 32
        const val LOSS = 0.05
        const val MEDIAN = 0.5
        const val TAIL = 0.99
        const val NANOS_PER_SECOND = 1_000_000_000

        /** Ten heartbeats of four bytes from each end within the idle limit of a link. */
        const val HEARTBEAT_BYTES = 80
    }
}
