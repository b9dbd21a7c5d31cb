package org.bilberrycart.bench.control

import kotlin.time.Duration
import org.bilberrycart.lease.LeaseAction
import org.bilberrycart.lease.LeaseEvent
import org.bilberrycart.lease.LeaseFilter
import org.bilberrycart.lease.LeaseState
import org.bilberrycart.lease.StoredLease
import org.bilberrycart.model.VmId

/** A holder and a candidate of the lease under a simulated clock and a store without faults. */
internal data class LeaseRun(
    val now: Duration = Duration.ZERO,
    val row: StoredLease? = null,
    val reads: Int = 0,
    val writes: Int = 0,
    val states: List<LeaseState> = List(2) {
        LeaseState(VmId("n$it"), instance = "i$it", seed = it.toLong())
    },
) {
    /** Returns the run one [step] later. */
    fun advance(step: Duration): LeaseRun =
        states.indices.fold(copy(now = now + step)) { run, index ->
            run.settle(index, LeaseEvent.Tick)
        }

    private tailrec fun settle(index: Int, event: LeaseEvent): LeaseRun {
        val step = FILTER.step(states[index], event, now)
        val next = copy(states = states.mapIndexed { i, s -> if (i == index) step.state else s })
        return when (val action = step.actions.firstOrNull { it !is LeaseAction.Held }) {
            is LeaseAction.Read -> next.copy(reads = reads + 1)
                .settle(index, LeaseEvent.Read(action.operation, row))
            is LeaseAction.Write -> {
                val version = (row?.version ?: 0) + 1
                next.copy(writes = writes + 1, row = StoredLease(action.record, version))
                    .settle(index, LeaseEvent.Written(action.operation, version))
            }
            else -> next
        }
    }

    private companion object {
        val FILTER = LeaseFilter()
    }
}
