package org.bilberrycart.lease

import kotlin.time.Duration
import kotlinx.collections.immutable.persistentListOf
import org.bilberrycart.pipeline.Filter
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.then
import org.bilberrycart.pipeline.withActions

private typealias LeaseStep = Step<LeaseState, LeaseAction>

/**
 * Decides whether this node holds the lease for control.
 *
 * A holder counts its lease from the moment it sent the renewal, by its own monotonic clock and
 * less a margin, so that it stops before anyone else may start. A candidate takes the lease after
 * it has seen the same row version for the whole length by its own clock; no two clocks are
 * compared.
 */
public class LeaseFilter : Filter<LeaseState, LeaseEvent, LeaseAction> {
    override fun step(state: LeaseState, event: LeaseEvent, now: Duration): LeaseStep =
        state.lapseIfDue(now).then { it.handle(event, now) }

    private fun LeaseState.handle(event: LeaseEvent, now: Duration): LeaseStep = when (event) {
        is LeaseEvent.Read -> ifAwaited(event.operation) { read(event.stored, now) }
        is LeaseEvent.Written -> ifAwaited(event.operation) { written(event.version, now) }
        is LeaseEvent.Conflict -> ifAwaited(event.operation) { read(event.stored, now) }
        is LeaseEvent.Failed -> ifAwaited(event.operation) { failed(event.mayHaveApplied, now) }
        is LeaseEvent.EligibilityChanged -> Step(copy(isEligible = event.isEligible))
        LeaseEvent.Leaving -> copy(isLeaving = true).release()
        LeaseEvent.Tick -> if (now >= nextAt && operation == 0L) act(now) else Step(this)
    }

    private fun LeaseState.ifAwaited(id: Long, decide: LeaseState.() -> LeaseStep): LeaseStep =
        if (id == operation) copy(operation = 0).decide() else Step(this)

    private fun LeaseState.lapseIfDue(now: Duration): LeaseStep = when {
        holding == null || now < holding.validUntil -> Step(this)
        else -> copy(holding = null).withActions(LeaseAction.Lapsed(holding.record.fencing))
    }

    private fun LeaseState.act(now: Duration): LeaseStep = when {
        isLeaving -> Step(this)
        holding != null -> renew(holding, now)
        isEligible -> ask()
        else -> Step(this)
    }

    private fun LeaseState.renew(held: Holding, now: Duration): LeaseStep =
        write(held.record, held.version, now)

    private fun LeaseState.ask(): LeaseStep =
        copy(operation = nextOperation, nextOperation = nextOperation + 1)
            .withActions(LeaseAction.Read(nextOperation))

    private fun LeaseState.write(record: LeaseRecord, expected: Long?, now: Duration): LeaseStep {
        val unique = record.copy(instance = instance, renewal = nextOperation)
        return copy(
            pending = PendingWrite(unique, now),
            operation = nextOperation,
            nextOperation = nextOperation + 1,
        ).withActions(LeaseAction.Write(nextOperation, unique, expected))
    }

    private fun LeaseState.read(stored: StoredLease?, now: Duration): LeaseStep {
        val lastWrite = pending
        val next = copy(pending = null).see(stored, now)
        val isLastWrite = lastWrite != null && stored?.record == lastWrite.record
        return when {
            isLastWrite -> next.hold(checkNotNull(stored), checkNotNull(lastWrite).sentAt, now)
            holding != null && stored != null && stored.version > holding.version ->
                next.meet(holding, stored, now)
            holding != null || isLeaving || !isEligible -> Step(next.wait(now))
            else -> next.takeIfFree(stored, now)
        }
    }

    /** An earlier write of this holder took effect late, or another node has the lease. */
    private fun LeaseState.meet(held: Holding, stored: StoredLease, now: Duration): LeaseStep {
        val isOwn = stored.record.holder == self &&
            stored.record.instance == instance &&
            stored.record.fencing == held.record.fencing
        return when {
            isOwn -> copy(holding = held.copy(version = stored.version))
                .renew(held.copy(version = stored.version), now)
            else -> lose(held)
        }
    }

    private fun LeaseState.takeIfFree(stored: StoredLease?, now: Duration): LeaseStep = when {
        stored == null -> take(fencing = 1, expected = null, now)
        stored.version < (seen?.version ?: 0) -> Step(wait(now))
        stored.record.isReleased || now - seenAt >= timing.length ->
            take(stored.record.fencing + 1, stored.version, now)
        else -> Step(wait(now))
    }

    private fun LeaseState.take(fencing: Long, expected: Long?, now: Duration): LeaseStep =
        write(LeaseRecord(self, fencing, instance, renewal = 0), expected, now)

    private fun LeaseState.see(stored: StoredLease?, now: Duration): LeaseState = when {
        stored == null || stored.version <= (seen?.version ?: 0) -> this
        else -> copy(seen = stored, seenAt = now)
    }

    private fun LeaseState.written(version: Long, now: Duration): LeaseStep {
        val write = checkNotNull(pending) { "no write is pending" }
        val stored = StoredLease(write.record, version)
        return copy(pending = null).see(stored, now).hold(stored, write.sentAt, now)
    }

    private fun LeaseState.hold(stored: StoredLease, since: Duration, now: Duration): LeaseStep {
        val until = since + timing.length - timing.margin
        val isOver = now >= until || stored.record.isReleased
        val held = Holding(stored.record, stored.version, until)
        return when {
            isOver && holding != null -> lose(holding)
            isOver -> Step(wait(now))
            else -> copy(holding = held).wait(now)
                .withActions(LeaseAction.Held(stored.record.fencing, until))
        }
    }

    private fun LeaseState.lose(held: Holding): LeaseStep =
        copy(holding = null).withActions(LeaseAction.Lapsed(held.record.fencing))

    private fun LeaseState.failed(mayHaveApplied: Boolean, now: Duration): LeaseStep {
        val next = if (mayHaveApplied) this else copy(pending = null)
        return if (mayHaveApplied && pending != null) next.ask() else Step(next.wait(now))
    }

    /** Gives the lease up: first this node stops, then it says so in the table. */
    private fun LeaseState.release(): LeaseStep {
        val held = holding ?: return Step(this)
        val record = held.record.copy(renewal = nextOperation, isReleased = true)
        return Step(
            copy(holding = null, pending = null, operation = 0, nextOperation = nextOperation + 1),
            persistentListOf(
                LeaseAction.Lapsed(held.record.fencing),
                LeaseAction.Write(nextOperation, record, held.version),
            ),
        )
    }

    private fun LeaseState.wait(now: Duration): LeaseState =
        copy(nextAt = now + timing.interval * (1 + spread()) / 2.0)
}
