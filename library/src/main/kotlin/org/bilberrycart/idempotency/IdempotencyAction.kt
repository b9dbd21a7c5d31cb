package org.bilberrycart.idempotency

import kotlin.time.Duration
import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.Placement
import org.bilberrycart.model.RequestId

/** What the idempotency duty asks for. */
public sealed class IdempotencyAction {
    /** A call of the platform's table; its result comes back with [operation]. */
    public sealed class Store : IdempotencyAction() {
        public abstract val request: RequestId
        public abstract val operation: Long
        public abstract val key: RecordKey

        /** When the result is no longer of use, by the node's clock. */
        public abstract val deadline: Duration
    }

    /** Write [record] if there is none, or if it has the version [expected]. */
    public data class Insert(
        override val request: RequestId,
        override val operation: Long,
        override val key: RecordKey,
        val record: CallRecord,
        val expected: Long?,
        override val deadline: Duration,
    ) : Store()

    /** Read the record of [key]. */
    public data class ReadBack(
        override val request: RequestId,
        override val operation: Long,
        override val key: RecordKey,
        override val deadline: Duration,
    ) : Store()

    /** Close the abandoned [record], as long as it has the version [expected]. */
    public data class CloseRecord(
        override val request: RequestId,
        override val operation: Long,
        override val key: RecordKey,
        val record: CallRecord,
        val expected: Long,
        override val deadline: Duration,
    ) : Store()

    /** Keep the outcome in [record], as long as it has the version [expected]. */
    public data class StoreOutcome(
        override val request: RequestId,
        override val operation: Long,
        override val key: RecordKey,
        val record: CallRecord,
        val expected: Long,
        override val deadline: Duration,
    ) : Store()

    /** Find an upstream and dispatch. */
    public data class Place(val placement: Placement) : IdempotencyAction()

    /** Stop [attempt]; its result is no longer of use. */
    public data class Cancel(val attempt: AttemptId) : IdempotencyAction()

    /** Answer the caller of [request]. */
    public data class Deliver(val request: RequestId, val part: AnswerPart) : IdempotencyAction()
}
