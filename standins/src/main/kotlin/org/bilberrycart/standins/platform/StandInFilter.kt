package org.bilberrycart.standins.platform

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.persistentListOf
import org.bilberrycart.pipeline.Filter
import org.bilberrycart.pipeline.Step

/** Decides how the platform stand-in answers calls within its rate limits and faults. */
class StandInFilter : Filter<StandInState, StandInEvent, StandInAction> {
    override fun step(
        state: StandInState,
        event: StandInEvent,
        now: Duration,
    ): Step<StandInState, StandInAction> = when (event) {
        is StandInEvent.SetFaults -> state.setFaults(event.faults).reply(event)
        is StandInEvent.SetVm ->
            state.copy(vms = state.vms.add(VmChange(now, event.vm.id, event.vm))).reply(event)
        is StandInEvent.RemoveVm ->
            state.copy(vms = state.vms.add(VmChange(now, event.id, vm = null))).reply(event)
        is StandInEvent.ReadCounters ->
            state.reply(event, StandInReply.Counters(state.counters))
        else -> state.serve(event, now)
    }

    private fun StandInState.serve(
        event: StandInEvent,
        now: Duration,
    ): Step<StandInState, StandInAction> {
        val slow = faults.slowMillis.milliseconds
        return when {
            faults.hang ->
                reply(
                    event,
                    StandInReply.AnswerLost,
                    slow + PlatformFaults.HANG_MILLIS.milliseconds,
                )
            faults.down -> reply(event, StandInReply.Unavailable, slow)
            event is StandInEvent.Transact -> transact(event, now, slow)
            event is StandInEvent.GetWeights -> readWeights(event, now, slow)
            else -> read(event, now, slow)
        }
    }

    private fun StandInState.transact(
        event: StandInEvent.Transact,
        now: Duration,
        slow: Duration,
    ): Step<StandInState, StandInAction> {
        val limiter =
            writeLimiter.take(now) ?: return countRateLimited().replyRateLimited(event, slow)
        val results = event.groups.runningFold(GroupOutcome(table, NONE)) { applied, group ->
            applied.table.apply(group, now)
        }
        val isLost = Random(seed).nextDouble() < faults.lostAnswers
        val next = withSnapshot(now).copy(
            table = results.last().table,
            writeLimiter = limiter,
            seed = Random(seed).nextLong(),
            counters = counters.copy(
                transactions = counters.transactions + 1,
                groups = counters.groups + event.groups.size,
                lostAnswers = counters.lostAnswers + if (isLost) 1 else 0,
            ),
        )
        val reply = when {
            isLost -> StandInReply.AnswerLost
            else -> StandInReply.Results(results.drop(1).map { it.result })
        }
        return next.reply(event, reply, slow)
    }

    private fun StandInState.read(
        event: StandInEvent,
        now: Duration,
        slow: Duration,
    ): Step<StandInState, StandInAction> {
        val limiter =
            readLimiter.take(now) ?: return countRateLimited().replyRateLimited(event, slow)
        val next = copy(
            readLimiter = limiter,
            counters = counters.copy(reads = counters.reads + 1),
        )
        return when (event) {
            is StandInEvent.PutObject ->
                next.copy(objects = objects.put(event.name, event.value))
                    .reply(event, StandInReply.Accepted, slow)
            else -> next.reply(event, answer(event, now), slow)
        }
    }

    private fun StandInState.answer(event: StandInEvent, now: Duration): StandInReply =
        when (event) {
            is StandInEvent.ReadRow -> visibleTable(now).row(event.key, now)
                ?.let { StandInReply.Found(RowMessage(event.key, it.value, it.version)) }
                ?: StandInReply.NotFound
            is StandInEvent.Scan ->
                StandInReply.Rows(visibleTable(now).scan(event.table, event.prefix, now))
            is StandInEvent.GetObject ->
                objects[event.name]?.let(StandInReply::Content) ?: StandInReply.NotFound
            is StandInEvent.ListVms -> StandInReply.Vms(visibleVms(now))
            else -> StandInReply.NotFound
        }

    private fun StandInState.readWeights(
        event: StandInEvent.GetWeights,
        now: Duration,
        slow: Duration,
    ): Step<StandInState, StandInAction> {
        val limiter =
            weightLimiter.take(now) ?: return countRateLimited().replyRateLimited(event, slow)
        return copy(weightLimiter = limiter)
            .reply(event, StandInReply.Content("weights of ${event.name}"), slow)
    }

    private fun StandInState.visibleTable(now: Duration): Table {
        val until = now - faults.staleMillis.milliseconds
        return when {
            faults.staleMillis == 0L -> table
            else -> snapshots.lastOrNull { it.takenAt <= until }?.table ?: Table()
        }
    }

    private fun StandInState.visibleVms(now: Duration): List<VmMessage> =
        vms.filter { it.changedAt + faults.vmLagMillis.milliseconds <= now }
            .groupBy { it.id }
            .mapNotNull { (_, changes) -> changes.last().vm }
            .sortedBy { it.id }

    private fun StandInState.withSnapshot(now: Duration): StandInState {
        val isDue = snapshots.isEmpty() || now - snapshots.last().takenAt >= SNAPSHOT_INTERVAL
        if (!isDue) return this
        val kept = if (snapshots.size < MAX_SNAPSHOTS) snapshots else snapshots.removeAt(0)
        return copy(snapshots = kept.add(Snapshot(now, table)))
    }

    private fun StandInState.setFaults(faults: PlatformFaults): StandInState = copy(
        faults = faults,
        writeLimiter = when (faults.writesPerSecond) {
            this.faults.writesPerSecond -> writeLimiter
            else -> StandInState.rateLimiterOf(faults.writesPerSecond)
        },
        readLimiter = when (faults.readsPerSecond) {
            this.faults.readsPerSecond -> readLimiter
            else -> StandInState.rateLimiterOf(faults.readsPerSecond)
        },
    )

    private fun StandInState.countRateLimited(): StandInState =
        copy(counters = counters.copy(overRate = counters.overRate + 1))

    private fun StandInState.replyRateLimited(event: StandInEvent, slow: Duration) =
        reply(event, StandInReply.RateLimited, slow)

    private fun StandInState.reply(
        event: StandInEvent,
        reply: StandInReply = StandInReply.Accepted,
        delay: Duration = Duration.ZERO,
    ): Step<StandInState, StandInAction> =
        Step(this, persistentListOf(StandInAction(event.exchangeId, reply, delay)))

    private companion object {
        const val MAX_SNAPSHOTS = 600
        val SNAPSHOT_INTERVAL = 100.milliseconds
        val NONE = ResultMessage(applied = false)
    }
}
