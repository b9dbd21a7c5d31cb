package org.bilberrycart.bench.replication

import java.lang.management.ManagementFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.serialization.Serializable
import org.bilberrycart.bench.capacity.usedBytes
import org.bilberrycart.membership.Member
import org.bilberrycart.membership.MemberRecord
import org.bilberrycart.model.DataCentreId
import org.bilberrycart.model.Fingerprint
import org.bilberrycart.model.GenerationRequest
import org.bilberrycart.model.ModelRef
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.RequestClass
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.Sampling
import org.bilberrycart.model.ServiceId
import org.bilberrycart.model.Token
import org.bilberrycart.model.VmId
import org.bilberrycart.peer.PeerCodec
import org.bilberrycart.peer.PeerMessage
import org.bilberrycart.replication.ReplicationAction
import org.bilberrycart.replication.ReplicationEvent
import org.bilberrycart.replication.ReplicationFilter
import org.bilberrycart.replication.ReplicationState

/** Measures bytes, processor time and memory of replication between an owner and a holder. */
class ReplicationCapacity {
    /**
     * One measurement.
     *
     * @property generations that one owner keeps on one holder at once.
     * @property batch tokens of one generation that share a message.
     * @property bytesPerToken both directions, frame headers included.
     * @property microsPerToken processor time of owner, holder and codec together.
     */
    @Serializable
    data class Point(
        val generations: Int,
        val batch: Int,
        val bytesPerToken: Double,
        val microsPerToken: Double,
    )

    /** The heap of [replicas] replicas of [tokens] tokens each. */
    @Serializable
    data class Heap(val replicas: Int, val tokens: Int, val bytesPerReplica: Double)

    /** All measurements. */
    @Serializable
    data class Report(val points: List<Point>, val heap: List<Heap>)

    /** Runs all measurements, one after the other. */
    fun run(): Report {
        measure(generations = WARM_UP_GENERATIONS, batch = 1)
        return Report(
            points = GENERATIONS.flatMap { generations ->
                BATCHES.map { measure(generations, it) }
            },
            heap = TOKENS_HELD.map(::heapOf),
        )
    }

    private fun measure(generations: Int, batch: Int): Point {
        val pair = Pair(generations)
        val cpuBefore = cpuNanos()
        val bytesBefore = pair.bytes
        repeat(ROUNDS) { pair.append(batch) }
        val tokens = (generations * batch * ROUNDS).toDouble()
        return Point(
            generations = generations,
            batch = batch,
            bytesPerToken = (pair.bytes - bytesBefore) / tokens,
            microsPerToken = (cpuNanos() - cpuBefore) / tokens / NANOS_PER_MICRO,
        )
    }

    private fun heapOf(tokens: Int): Heap {
        val before = usedBytes()
        val pair = Pair(REPLICAS)
        if (tokens > 0) pair.append(tokens)
        val replicas = pair.holderOnly()
        val bytes = (usedBytes() - before).toDouble() / replicas.replicas.size
        return Heap(replicas.replicas.size, tokens, bytes)
    }

    /** An owner and its holder; each frame is encoded, counted and decoded. */
    private class Pair(private val generations: Int) {
        private val owner = member(1)
        private val holder = member(2)
        private var ownerState = ReplicationState(
            owner,
            members = persistentHashMapOf(holder.vm to MemberRecord(holder, 1)),
        )
        private var holderState = ReplicationState(holder)
        private var now = Duration.ZERO
        private var size = 0

        var bytes = 0L
            private set

        init {
            repeat(generations) { onOwner(ReplicationEvent.Began(generation(it), 1)) }
            flush()
        }

        fun append(count: Int) {
            repeat(generations) { number ->
                repeat(count) { offset ->
                    val token = Token(size + offset, " token")
                    onOwner(ReplicationEvent.Appended(RequestId(name(number)), 1, token))
                }
            }
            size += count
            flush()
        }

        fun holderOnly(): ReplicationState {
            ownerState = ReplicationState(owner)
            return holderState
        }

        private fun flush() {
            now += STEP
            onOwner(ReplicationEvent.Tick)
        }

        private fun onOwner(event: ReplicationEvent) {
            val step = FILTER.step(ownerState, event, now)
            ownerState = step.state
            step.actions.forEach { if (it is ReplicationAction.Send) toHolder(it) }
        }

        private fun toHolder(send: ReplicationAction.Send) {
            val step = FILTER.step(holderState, received(owner, send), now)
            holderState = step.state
            step.actions.forEach { if (it is ReplicationAction.Send) onOwner(received(holder, it)) }
        }

        private fun received(from: Member, send: ReplicationAction.Send): ReplicationEvent {
            val frame = PeerCodec.encode(PeerMessage.Replication(send.messages))
            bytes += frame.size + FRAME_HEADER
            val message = PeerCodec.decode(frame) as PeerMessage.Replication
            return ReplicationEvent.Received(from, message.messages)
        }

        private fun name(number: Int) = "0b6d9e6c-1111-4222-8333-%012d".format(number)

        private fun generation(number: Int) = GenerationRequest(
            id = RequestId(name(number)),
            organisation = OrganisationId("club"),
            service = ServiceId("drafts"),
            requestClass = RequestClass.LONG_DRAFT,
            fingerprint = Fingerprint("f$number"),
            arrivedAt = now,
            deadline = now + 10.minutes,
            model = ModelRef("model"),
            prompt = "p".repeat(PROMPT_CHARS) + number,
            sampling = Sampling(maxTokens = 4_000),
        )

        private fun member(number: Int) =
            Member(VmId("vm$number"), "10.0.0.$number", PORT, DataCentreId("dc$number"))
    }

    private fun cpuNanos(): Long = ManagementFactory.getThreadMXBean().currentThreadCpuTime

    private companion object {
        const val PORT = 7_000
        const val WARM_UP_GENERATIONS = 10
        val GENERATIONS = listOf(1, 10, 100)
        val BATCHES = listOf(1, 4, 16)
        val TOKENS_HELD = listOf(0, 500, 2_000)

        val FILTER = ReplicationFilter()
        val STEP = 10.milliseconds
        const val ROUNDS = 200
        const val REPLICAS = 400
        const val PROMPT_CHARS = 2_000
        const val FRAME_HEADER = 4
        const val NANOS_PER_MICRO = 1_000.0
    }
}
