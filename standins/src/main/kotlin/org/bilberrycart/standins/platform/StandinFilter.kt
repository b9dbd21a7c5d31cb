package org.bilberrycart.standins.platform

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.persistentListOf
import org.bilberrycart.pipeline.Filter
import org.bilberrycart.pipeline.Step

/** The decisions of the platform stand-in: the table, its limits and its faults. */
class StandinFilter : Filter<StandinState, StandinEvent, StandinAction> {
    override fun step(
        state: StandinState,
        event: StandinEvent,
        now: Duration,
    ): Step<StandinState, StandinAction> = when (event) {
        is StandinEvent.SetFaults -> state.setFaults(event.faults).reply(event)
        is StandinEvent.SetVm ->
            state.copy(vms = state.vms.add(VmChange(now, event.vm.id, event.vm))).reply(event)
        is StandinEvent.RemoveVm ->
            state.copy(vms = state.vms.add(VmChange(now, event.id, vm = null))).reply(event)
        is StandinEvent.ReadCounters ->
            state.reply(event, StandinReply.Counted(state.counters))
        else -> state.serve(event, now)
    }

    private fun StandinState.serve(
        event: StandinEvent,
        now: Duration,
    ): Step<StandinState, StandinAction> {
        val slow = faults.slowMillis.milliseconds
        return when {
            faults.hang ->
                reply(event, StandinReply.Lost, slow + Faults.HANG_MILLIS.milliseconds)
            faults.down -> reply(event, StandinReply.Down, slow)
            event is StandinEvent.Transact -> transact(event, now, slow)
            event is StandinEvent.GetWeights -> readWeights(event, now, slow)
            else -> read(event, now, slow)
        }
    }

    private fun StandinState.transact(
        event: StandinEvent.Transact,
        now: Duration,
        slow: Duration,
    ): Step<StandinState, StandinAction> {
        val bucket = writeBucket.take(now) ?: return countOverRate().replyOverRate(event, slow)
        val results = event.groups.runningFold(Applied(table, NONE)) { applied, group ->
            applied.table.apply(group, now)
        }
        val isLost = Random(seed).nextDouble() < faults.lostAnswers
        val next = remember(now).copy(
            table = results.last().table,
            writeBucket = bucket,
            seed = Random(seed).nextLong(),
            counters = counters.copy(
                transactions = counters.transactions + 1,
                groups = counters.groups + event.groups.size,
                lostAnswers = counters.lostAnswers + if (isLost) 1 else 0,
            ),
        )
        val reply = when {
            isLost -> StandinReply.Lost
            else -> StandinReply.Results(results.drop(1).map { it.result })
        }
        return next.reply(event, reply, slow)
    }

    private fun StandinState.read(
        event: StandinEvent,
        now: Duration,
        slow: Duration,
    ): Step<StandinState, StandinAction> {
        val bucket = readBucket.take(now) ?: return countOverRate().replyOverRate(event, slow)
        val next = copy(
            readBucket = bucket,
            counters = counters.copy(reads = counters.reads + 1),
        )
        return when (event) {
            is StandinEvent.PutObject ->
                next.copy(objects = objects.put(event.name, event.value))
                    .reply(event, StandinReply.Accepted, slow)
            else -> next.reply(event, answer(event, now), slow)
        }
    }

    private fun StandinState.answer(event: StandinEvent, now: Duration): StandinReply =
        when (event) {
            is StandinEvent.ReadRow -> seenTable(now).row(event.key, now)
                ?.let { StandinReply.Found(RowMessage(event.key, it.value, it.version)) }
                ?: StandinReply.Missing
            is StandinEvent.Scan ->
                StandinReply.Rows(seenTable(now).scan(event.table, event.prefix, now))
            is StandinEvent.GetObject ->
                objects[event.name]?.let(StandinReply::Content) ?: StandinReply.Missing
            is StandinEvent.ListVms -> StandinReply.Vms(seenVms(now))
            else -> StandinReply.Missing
        }

    private fun StandinState.readWeights(
        event: StandinEvent.GetWeights,
        now: Duration,
        slow: Duration,
    ): Step<StandinState, StandinAction> {
        val bucket = weightBucket.take(now) ?: return countOverRate().replyOverRate(event, slow)
        return copy(weightBucket = bucket)
            .reply(event, StandinReply.Content("weights of ${event.name}"), slow)
    }

    private fun StandinState.seenTable(now: Duration): Table {
        val until = now - faults.staleMillis.milliseconds
        return when {
            faults.staleMillis == 0L -> table
            else -> past.lastOrNull { it.takenAt <= until }?.table ?: Table()
        }
    }

    private fun StandinState.seenVms(now: Duration): List<VmMessage> =
        vms.filter { it.changedAt + faults.vmLagMillis.milliseconds <= now }
            .groupBy { it.id }
            .mapNotNull { (_, changes) -> changes.last().vm }
            .sortedBy { it.id }

    private fun StandinState.remember(now: Duration): StandinState {
        val isDue = past.isEmpty() || now - past.last().takenAt >= SNAPSHOT_INTERVAL
        if (!isDue) return this
        val kept = if (past.size < MAX_SNAPSHOTS) past else past.removeAt(0)
        return copy(past = kept.add(Snapshot(now, table)))
    }

    private fun StandinState.setFaults(faults: Faults): StandinState = copy(
        faults = faults,
        writeBucket = when (faults.writesPerSecond) {
            this.faults.writesPerSecond -> writeBucket
            else -> StandinState.bucketOf(faults.writesPerSecond)
        },
        readBucket = when (faults.readsPerSecond) {
            this.faults.readsPerSecond -> readBucket
            else -> StandinState.bucketOf(faults.readsPerSecond)
        },
    )

    private fun StandinState.countOverRate(): StandinState =
        copy(counters = counters.copy(overRate = counters.overRate + 1))

    private fun StandinState.replyOverRate(event: StandinEvent, slow: Duration) =
        reply(event, StandinReply.OverRate, slow)

    private fun StandinState.reply(
        event: StandinEvent,
        reply: StandinReply = StandinReply.Accepted,
        delay: Duration = Duration.ZERO,
    ): Step<StandinState, StandinAction> =
        Step(this, persistentListOf(StandinAction(event.ticket, reply, delay)))

    private companion object {
        const val MAX_SNAPSHOTS = 600
        val SNAPSHOT_INTERVAL = 100.milliseconds
        val NONE = ResultMessage(applied = false)
    }
}
