package org.bilberrycart.bench.control

import kotlin.time.Duration
import org.bilberrycart.lease.LeaseAction
import org.bilberrycart.lease.LeaseEvent
import org.bilberrycart.lease.LeaseFilter
import org.bilberrycart.lease.LeaseState
import org.bilberrycart.lease.StoredLease
import org.bilberrycart.model.VmId

/**
 * Simulates two nodes that compete for the lease, with a store that never fails.
 *
 * @property now the simulated time.
 * @property row the stored lease; null before the first write.
 * @property reads the number of store reads by both nodes.
 * @property writes the number of store writes by both nodes.
 * @property states the lease states of both nodes.
 */
internal data class LeaseSimulation(
    val now: Duration = Duration.ZERO,
    val row: StoredLease? = null,
    val reads: Int = 0,
    val writes: Int = 0,
    val states: List<LeaseState> = List(2) {
        LeaseState(VmId("n$it"), instance = "i$it", seed = it.toLong())
    },
) {
    /** Returns the simulation one [step] later. */
    fun advance(step: Duration): LeaseSimulation =
        states.indices.fold(copy(now = now + step)) { simulation, index ->
            simulation.stepWithReplies(index, LeaseEvent.Tick)
        }

    /** Steps the node at [index] with [event] and then with each reply of the store. */
    private tailrec fun stepWithReplies(index: Int, event: LeaseEvent): LeaseSimulation {
        val step = FILTER.step(states[index], event, now)
        val next = copy(states = states.mapIndexed { i, s -> if (i == index) step.state else s })
        return when (val action = step.actions.firstOrNull { it !is LeaseAction.Held }) {
            is LeaseAction.Read -> next.copy(reads = reads + 1)
                .stepWithReplies(index, LeaseEvent.Read(action.operation, row))
            is LeaseAction.Write -> {
                val version = (row?.version ?: 0) + 1
                next.copy(writes = writes + 1, row = StoredLease(action.record, version))
                    .stepWithReplies(index, LeaseEvent.Written(action.operation, version))
            }
            else -> next
        }
    }

    private companion object {
        val FILTER = LeaseFilter()
    }
}
