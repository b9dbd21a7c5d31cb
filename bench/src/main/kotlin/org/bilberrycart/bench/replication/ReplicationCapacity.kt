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

/** Measures the traffic, processor time and memory of replication from an owner to a holder. */
class ReplicationCapacity {
    /**
     * The cost of replication for one number of generations and one batch size.
     *
     * @property generations how many generations one owner replicates to one holder at once.
     * @property batch how many tokens of one generation share a message.
     * @property bytesPerToken bytes sent in both directions per token, frame headers included.
     * @property microsPerToken processor time of owner, holder and codec per token, in
     * microseconds.
     */
    @Serializable
    data class Point(
        val generations: Int,
        val batch: Int,
        val bytesPerToken: Double,
        val microsPerToken: Double,
    )

    /** The heap that a holder uses for each of [replicas] replicas with [tokens] tokens each. */
    @Serializable
    data class Heap(val replicas: Int, val tokens: Int, val bytesPerReplica: Double)

    /** The results of all measurements. */
    @Serializable
    data class Report(val points: List<Point>, val heap: List<Heap>)

    /** Runs all measurements, one after the other, and returns their results. */
    fun run(): Report {
        measure(generations = WARM_UP_GENERATIONS, batch = 1)
        return Report(
            points = GENERATIONS.flatMap { generations ->
                BATCH_SIZES.map { measure(generations, it) }
            },
            heap = TOKENS_PER_REPLICA.map(::measureHeap),
        )
    }

    private fun measure(generations: Int, batch: Int): Point {
        val ownerAndHolder = OwnerAndHolder(generations)
        val cpuBefore = cpuNanos()
        val bytesBefore = ownerAndHolder.bytes
        repeat(ROUNDS) { ownerAndHolder.append(batch) }
        val tokens = (generations * batch * ROUNDS).toDouble()
        return Point(
            generations = generations,
            batch = batch,
            bytesPerToken = (ownerAndHolder.bytes - bytesBefore) / tokens,
            microsPerToken = (cpuNanos() - cpuBefore) / tokens / NANOS_PER_MICRO,
        )
    }

    private fun measureHeap(tokens: Int): Heap {
        val before = usedBytes()
        val ownerAndHolder = OwnerAndHolder(HEAP_REPLICAS)
        if (tokens > 0) ownerAndHolder.append(tokens)
        val holder = ownerAndHolder.dropOwner()
        val bytes = (usedBytes() - before).toDouble() / holder.replicas.size
        return Heap(holder.replicas.size, tokens, bytes)
    }

    /** An owner and its holder; each frame between them is encoded, counted and decoded. */
    private class OwnerAndHolder(private val generations: Int) {
        private val owner = member(1)
        private val holder = member(2)
        private var ownerState = ReplicationState(
            owner,
            members = persistentHashMapOf(holder.vm to MemberRecord(holder, 1)),
        )
        private var holderState = ReplicationState(holder)
        private var now = Duration.ZERO
        private var tokenCount = 0

        var bytes = 0L
            private set

        init {
            repeat(generations) { onOwner(ReplicationEvent.Began(generation(it), 1)) }
            flush()
        }

        /** Appends [count] tokens to each generation and replicates them in one batch. */
        fun append(count: Int) {
            repeat(generations) { number ->
                repeat(count) { offset ->
                    val token = Token(tokenCount + offset, " token")
                    onOwner(ReplicationEvent.Appended(RequestId(requestIdText(number)), 1, token))
                }
            }
            tokenCount += count
            flush()
        }

        /** Drops the state of the owner and returns that of the holder, to measure it alone. */
        fun dropOwner(): ReplicationState {
            ownerState = ReplicationState(owner)
            return holderState
        }

        private fun flush() {
            now += TICK_INTERVAL
            onOwner(ReplicationEvent.Tick)
        }

        private fun onOwner(event: ReplicationEvent) {
            val step = FILTER.step(ownerState, event, now)
            ownerState = step.state
            step.actions.forEach { if (it is ReplicationAction.Send) deliverToHolder(it) }
        }

        private fun deliverToHolder(send: ReplicationAction.Send) {
            val step = FILTER.step(holderState, transfer(owner, send), now)
            holderState = step.state
            step.actions.forEach { if (it is ReplicationAction.Send) onOwner(transfer(holder, it)) }
        }

        /** Encodes and decodes the frame of [send] and returns its arrival at the other node. */
        private fun transfer(from: Member, send: ReplicationAction.Send): ReplicationEvent {
            val frame = PeerCodec.encode(PeerMessage.Replication(send.messages))
            bytes += frame.size + FRAME_HEADER_BYTES
            val message = PeerCodec.decode(frame) as PeerMessage.Replication
            return ReplicationEvent.Received(from, message.messages)
        }

        private fun requestIdText(number: Int) = "0b6d9e6c-1111-4222-8333-%012d".format(number)

        private fun generation(number: Int) = GenerationRequest(
            id = RequestId(requestIdText(number)),
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
        val BATCH_SIZES = listOf(1, 4, 16)
        val TOKENS_PER_REPLICA = listOf(0, 500, 2_000)

        val FILTER = ReplicationFilter()
        val TICK_INTERVAL = 10.milliseconds
        const val ROUNDS = 200
        const val HEAP_REPLICAS = 400
        const val PROMPT_CHARS = 2_000

        /** The length prefix of a frame. */
        const val FRAME_HEADER_BYTES = 4
        const val NANOS_PER_MICRO = 1_000.0
    }
}
