package org.bilberrycart.store

import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.plus
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.pipeline.Filter
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.then
import org.bilberrycart.pipeline.withActions

/**
 * Decides which calls go to the platform and when.
 *
 * Write groups that wait while transactions are in flight share the next one (group commit). Each
 * call has a deadline, the node keeps to its share of the platform's rates, and a circuit breaker
 * refuses calls at once while the platform fails. A failed call is retried only if it certainly had
 * no effect: a write that may have been applied ends as [StoreResult.UnknownOutcome].
 */
public class PlatformFilter : Filter<PlatformState, PlatformEvent, PlatformAction> {
    override fun step(
        state: PlatformState,
        event: PlatformEvent,
        now: Duration,
    ): Step<PlatformState, PlatformAction> {
        val step = when (event) {
            is PlatformEvent.Call -> state.submit(event, now)
            is PlatformEvent.ExchangeEnded -> state.complete(event.id, event.reply, now)
            PlatformEvent.Tick -> state.finishExpired(now)
        }
        return step.then { it.sendWrites(now) }.then { it.sendReads(now) }
    }

    private fun PlatformState.submit(
        call: PlatformEvent.Call,
        now: Duration,
    ): Step<PlatformState, PlatformAction> = when {
        now >= call.deadline -> refuse(call, StoreFailure.EXPIRED)
        !breaker.allows(now) -> refuse(call, StoreFailure.CIRCUIT_OPEN)
        writes.size + reads.size >= limits.maxQueuedCalls -> refuse(call, StoreFailure.QUEUE_FULL)
        else -> Step(copy(retryBudget = retryBudget.deposit()).enqueue(PendingCall(call)))
    }

    private fun PlatformState.enqueue(pending: PendingCall): PlatformState = when (pending.call) {
        is PlatformEvent.Write -> copy(writes = writes.add(pending))
        is PlatformEvent.Read, is PlatformEvent.Scan -> copy(reads = reads.add(pending))
    }

    private fun PlatformState.refuse(
        call: PlatformEvent.Call,
        failure: StoreFailure,
    ): Step<PlatformState, PlatformAction> = countUnavailable(1).withActions(
        PlatformAction.Finish(call.context, StoreResult.Unavailable(failure)),
    )

    private fun PlatformState.finishExpired(now: Duration): Step<PlatformState, PlatformAction> {
        val (expiredWrites, remainingWrites) = writes.partition { now >= it.call.deadline }
        val (expiredReads, remainingReads) = reads.partition { now >= it.call.deadline }
        val expired = expiredWrites + expiredReads
        if (expired.isEmpty()) return Step(this)
        val kept = copy(
            writes = remainingWrites.toPersistentList(),
            reads = remainingReads.toPersistentList(),
        )
        return Step(
            kept.countUnavailable(expired.size),
            expired.map { it.finishUnavailable(StoreFailure.EXPIRED) }.toPersistentList(),
        )
    }

    private fun PlatformState.sendWrites(now: Duration): Step<PlatformState, PlatformAction> {
        val hasCapacity = transactionsInFlight < limits.maxTransactionsInFlight
        if (writes.isEmpty() || !hasCapacity || !breaker.allows(now)) return Step(this)
        val (due, later) = writes.partition { it.notBefore <= now }
        val limiter = if (due.isEmpty()) null else writeLimiter.take(now)
        if (limiter == null) return Step(this)
        val calls = due.take(limits.maxGroupsPerTransaction)
            .map { it.copy(attempts = it.attempts + 1) }
            .toPersistentList()
        val groups = calls.mapNotNull { (it.call as? PlatformEvent.Write)?.group }
        val remaining = (due.drop(limits.maxGroupsPerTransaction) + later).toPersistentList()
        val sent = copy(
            writes = remaining,
            writeLimiter = limiter,
            breaker = breaker.sent(now),
            inFlight = inFlight.put(nextId, Exchange.Transaction(calls)),
            nextId = nextId + 1,
            counters = counters.copy(
                transactions = counters.transactions + 1,
                groups = counters.groups + groups.size,
            ),
        )
        val action = PlatformAction.SendTransaction(
            nextId,
            groups.toPersistentList(),
            limits.exchangeTimeout,
        )
        return sent.withActions(action)
    }

    private tailrec fun PlatformState.sendReads(
        now: Duration,
        sent: PersistentList<PlatformAction> = persistentListOf(),
    ): Step<PlatformState, PlatformAction> {
        val index = reads.indexOfFirst { it.notBefore <= now }
        val limiter = if (index < 0 || !breaker.allows(now)) null else readLimiter.take(now)
        if (limiter == null) return Step(this, sent)
        val pending = reads[index].let { it.copy(attempts = it.attempts + 1) }
        val timeout = minOf(limits.exchangeTimeout, pending.call.deadline - now)
        val next = copy(
            reads = reads.removeAt(index),
            readLimiter = limiter,
            breaker = breaker.sent(now),
            inFlight = inFlight.put(nextId, Exchange.Read(pending)),
            nextId = nextId + 1,
            counters = counters.copy(reads = counters.reads + 1),
        )
        val action = PlatformAction.SendRead(nextId, pending.call, timeout)
        return next.sendReads(now, sent.add(action))
    }

    private fun PlatformState.complete(
        id: Long,
        reply: StoreReply,
        now: Duration,
    ): Step<PlatformState, PlatformAction> {
        val exchange = inFlight[id] ?: return Step(this)
        val remaining = copy(inFlight = inFlight.remove(id))
        val calls = when (exchange) {
            is Exchange.Transaction -> exchange.calls
            is Exchange.Read -> persistentListOf(exchange.call)
        }
        return when (reply) {
            is StoreReply.Groups -> remaining.succeed(calls, reply.results)
            is StoreReply.Read -> remaining.succeed(calls, persistentListOf(reply.result))
            is StoreReply.Failed -> remaining.fail(exchange, calls, reply, now)
        }
    }

    private fun PlatformState.succeed(
        calls: PersistentList<PendingCall>,
        results: PersistentList<StoreResult>,
    ): Step<PlatformState, PlatformAction> {
        check(calls.size == results.size) { "${calls.size} calls, ${results.size} results" }
        val finished = calls.zip(results) { pending, result ->
            PlatformAction.Finish(pending.call.context, result)
        }
        val change = if (breaker.isOpen) persistentListOf(CLOSED) else persistentListOf()
        return Step(copy(breaker = breaker.succeeded()), change + finished)
    }

    private fun PlatformState.fail(
        exchange: Exchange,
        calls: PersistentList<PendingCall>,
        reply: StoreReply.Failed,
        now: Duration,
    ): Step<PlatformState, PlatformAction> {
        val next = when (reply.failure) {
            StoreFailure.OVER_RATE -> breaker.succeeded()
            else -> breaker.failed(now, jitter())
        }
        val failed = copy(
            breaker = next,
            counters = counters.copy(failures = counters.failures + 1),
        )
        val opened = !breaker.isOpen && next.isOpen
        val change = if (opened) persistentListOf(OPENED) else persistentListOf()
        val isUnknown = exchange is Exchange.Transaction && reply.mayHaveApplied
        val step = when {
            isUnknown -> failed.finishUnknown(calls, reply.failure)
            else -> calls.fold(Step<PlatformState, PlatformAction>(failed)) { step, call ->
                step.then { it.retryOrFinish(call, reply.failure, now) }
            }
        }
        val result = if (next is CircuitBreaker.Open) step.then { it.refuseQueued() } else step
        return result.copy(actions = change + result.actions)
    }

    private fun PlatformState.refuseQueued(): Step<PlatformState, PlatformAction> {
        val queued = writes + reads
        return Step(
            copy(writes = persistentListOf(), reads = persistentListOf())
                .countUnavailable(queued.size),
            queued.map { it.finishUnavailable(StoreFailure.CIRCUIT_OPEN) }.toPersistentList(),
        )
    }

    private fun PlatformState.finishUnknown(
        calls: PersistentList<PendingCall>,
        failure: StoreFailure,
    ): Step<PlatformState, PlatformAction> = Step(
        copy(counters = counters.copy(unknown = counters.unknown + calls.size)),
        calls.map { PlatformAction.Finish(it.call.context, StoreResult.UnknownOutcome(failure)) }
            .toPersistentList(),
    )

    private fun PlatformState.retryOrFinish(
        pending: PendingCall,
        failure: StoreFailure,
        now: Duration,
    ): Step<PlatformState, PlatformAction> {
        val delay = BASE_BACKOFF * 2.0.pow(pending.attempts - 1) * (1 + jitter()) / 2.0
        val budget = retryBudget.withdraw()
        val inTime = now + delay < pending.call.deadline
        if (budget == null || !inTime || !breaker.allows(now)) {
            return countUnavailable(1).withActions(pending.finishUnavailable(failure))
        }
        val retried = copy(
            retryBudget = budget,
            counters = counters.copy(retries = counters.retries + 1),
        )
        return Step(retried.enqueue(pending.copy(notBefore = now + delay)))
    }

    private fun PlatformState.countUnavailable(count: Int): PlatformState =
        copy(counters = counters.copy(unavailable = counters.unavailable + count))

    private fun PendingCall.finishUnavailable(failure: StoreFailure): PlatformAction =
        PlatformAction.Finish(call.context, StoreResult.Unavailable(failure))

    private val CircuitBreaker.isOpen: Boolean
        get() = this !is CircuitBreaker.Closed

    private companion object {
        val BASE_BACKOFF = 50.milliseconds
        val CLOSED: PlatformAction = PlatformAction.BreakerChanged(isOpen = false)
        val OPENED: PlatformAction = PlatformAction.BreakerChanged(isOpen = true)
    }
}
