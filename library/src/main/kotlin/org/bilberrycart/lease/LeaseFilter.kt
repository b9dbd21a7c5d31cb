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
 * A holder counts its lease from the time at which it sent the renewal, by its own monotonic clock
 * and less a safety margin, so that it stops before another node may take the lease. A candidate
 * takes the lease after it has seen the same row version for the whole duration by its own clock.
 * The clocks of two nodes are never compared.
 */
public class LeaseFilter : Filter<LeaseState, LeaseEvent, LeaseAction> {
    override fun step(state: LeaseState, event: LeaseEvent, now: Duration): LeaseStep =
        state.loseIfExpired(now).then { it.handle(event, now) }

    private fun LeaseState.handle(event: LeaseEvent, now: Duration): LeaseStep = when (event) {
        is LeaseEvent.Read -> ifAwaited(event.operation) { read(event.stored, now) }
        is LeaseEvent.Written -> ifAwaited(event.operation) { written(event.version, now) }
        is LeaseEvent.Conflict -> ifAwaited(event.operation) { read(event.stored, now) }
        is LeaseEvent.Failed -> ifAwaited(event.operation) { failed(event.mayHaveApplied, now) }
        is LeaseEvent.EligibilityChanged -> Step(copy(isEligible = event.isEligible))
        LeaseEvent.Leaving -> copy(isLeaving = true).release()
        LeaseEvent.Tick ->
            if (now >= nextActionAt && awaited == 0L) renewOrRead(now) else Step(this)
    }

    private fun LeaseState.ifAwaited(id: Long, decide: LeaseState.() -> LeaseStep): LeaseStep =
        if (id == awaited) copy(awaited = 0).decide() else Step(this)

    private fun LeaseState.loseIfExpired(now: Duration): LeaseStep = when {
        ownLease == null || now < ownLease.validUntil -> Step(this)
        else -> copy(ownLease = null).withActions(LeaseAction.Lost(ownLease.record.fencing))
    }

    private fun LeaseState.renewOrRead(now: Duration): LeaseStep = when {
        isLeaving -> Step(this)
        ownLease != null -> renew(ownLease, now)
        isEligible -> readRow()
        else -> Step(this)
    }

    private fun LeaseState.renew(held: OwnLease, now: Duration): LeaseStep =
        write(held.record, held.version, now)

    private fun LeaseState.readRow(): LeaseStep =
        copy(awaited = nextOperation, nextOperation = nextOperation + 1)
            .withActions(LeaseAction.Read(nextOperation))

    private fun LeaseState.write(record: LeaseRecord, expected: Long?, now: Duration): LeaseStep {
        val unique = record.copy(instance = instance, renewal = nextOperation)
        return copy(
            pendingWrite = PendingWrite(unique, now),
            awaited = nextOperation,
            nextOperation = nextOperation + 1,
        ).withActions(LeaseAction.Write(nextOperation, unique, expected))
    }

    private fun LeaseState.read(stored: StoredLease?, now: Duration): LeaseStep {
        val lastWrite = pendingWrite
        val next = copy(pendingWrite = null).observe(stored, now)
        val isLastWrite = lastWrite != null && stored?.record == lastWrite.record
        return when {
            isLastWrite -> next.hold(checkNotNull(stored), checkNotNull(lastWrite).sentAt, now)
            ownLease != null && stored != null && stored.version > ownLease.version ->
                next.handleNewerRow(ownLease, stored, now)
            ownLease != null || isLeaving || !isEligible -> Step(next.defer(now))
            else -> next.takeIfFree(stored, now)
        }
    }

    /** Handles a newer row: a delayed write of this holder, or the lease of another node. */
    private fun LeaseState.handleNewerRow(
        held: OwnLease,
        stored: StoredLease,
        now: Duration,
    ): LeaseStep {
        val isOwnRow = stored.record.holder == self &&
            stored.record.instance == instance &&
            stored.record.fencing == held.record.fencing
        return when {
            isOwnRow -> copy(ownLease = held.copy(version = stored.version))
                .renew(held.copy(version = stored.version), now)
            else -> lose(held)
        }
    }

    private fun LeaseState.takeIfFree(stored: StoredLease?, now: Duration): LeaseStep = when {
        stored == null -> take(fencing = 1, expected = null, now)
        stored.version < (newestLease?.version ?: 0) -> Step(defer(now))
        stored.record.isReleased || now - newestLeaseSeenAt >= timing.duration ->
            take(stored.record.fencing + 1, stored.version, now)
        else -> Step(defer(now))
    }

    private fun LeaseState.take(fencing: Long, expected: Long?, now: Duration): LeaseStep =
        write(LeaseRecord(self, fencing, instance, renewal = 0), expected, now)

    private fun LeaseState.observe(stored: StoredLease?, now: Duration): LeaseState = when {
        stored == null || stored.version <= (newestLease?.version ?: 0) -> this
        else -> copy(newestLease = stored, newestLeaseSeenAt = now)
    }

    private fun LeaseState.written(version: Long, now: Duration): LeaseStep {
        val write = checkNotNull(pendingWrite) { "a write was applied, but none is pending" }
        val stored = StoredLease(write.record, version)
        return copy(pendingWrite = null).observe(stored, now).hold(stored, write.sentAt, now)
    }

    private fun LeaseState.hold(stored: StoredLease, since: Duration, now: Duration): LeaseStep {
        val until = since + timing.duration - timing.safetyMargin
        val isExpired = now >= until || stored.record.isReleased
        val held = OwnLease(stored.record, stored.version, until)
        return when {
            isExpired && ownLease != null -> lose(ownLease)
            isExpired -> Step(defer(now))
            else -> copy(ownLease = held).defer(now)
                .withActions(LeaseAction.Held(stored.record.fencing, until))
        }
    }

    private fun LeaseState.lose(held: OwnLease): LeaseStep =
        copy(ownLease = null).withActions(LeaseAction.Lost(held.record.fencing))

    private fun LeaseState.failed(mayHaveApplied: Boolean, now: Duration): LeaseStep {
        val next = if (mayHaveApplied) this else copy(pendingWrite = null)
        return if (mayHaveApplied && pendingWrite != null) next.readRow() else Step(next.defer(now))
    }

    /** Gives the lease up: this node stops first, then marks the row as released. */
    private fun LeaseState.release(): LeaseStep {
        val held = ownLease ?: return Step(this)
        val record = held.record.copy(renewal = nextOperation, isReleased = true)
        return Step(
            copy(
                ownLease = null,
                pendingWrite = null,
                awaited = 0,
                nextOperation = nextOperation + 1,
            ),
            persistentListOf(
                LeaseAction.Lost(held.record.fencing),
                LeaseAction.Write(nextOperation, record, held.version),
            ),
        )
    }

    /** Schedules the next renewal or read. */
    private fun LeaseState.defer(now: Duration): LeaseState =
        copy(nextActionAt = now + timing.renewalInterval * (1 + jitter()) / 2.0)
}
