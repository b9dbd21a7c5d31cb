package org.bilberrycart.idempotency

import kotlin.time.Duration
import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.Placement
import org.bilberrycart.model.RequestId

/** An action that the idempotency duty requests. */
public sealed class IdempotencyAction {
    /** A call to the platform's table; its result is matched by [storeCallId]. */
    public sealed class Store : IdempotencyAction() {
        public abstract val request: RequestId
        public abstract val storeCallId: Long
        public abstract val key: RecordKey

        /** When the result is no longer useful, by the node's clock. */
        public abstract val deadline: Duration
    }

    /** Write [record] if the row has the version [expected], or if there is no row when null. */
    public data class Insert(
        override val request: RequestId,
        override val storeCallId: Long,
        override val key: RecordKey,
        val record: CallRecord,
        val expected: Long?,
        override val deadline: Duration,
    ) : Store()

    /** Read the record of [key] after a write whose outcome is unknown. */
    public data class ReadBack(
        override val request: RequestId,
        override val storeCallId: Long,
        override val key: RecordKey,
        override val deadline: Duration,
    ) : Store()

    /** Mark the call of [record] as not run, if the row has the version [expected]. */
    public data class CloseRecord(
        override val request: RequestId,
        override val storeCallId: Long,
        override val key: RecordKey,
        val record: CallRecord,
        val expected: Long,
        override val deadline: Duration,
    ) : Store()

    /** Store the outcome in [record], if the row has the version [expected]. */
    public data class StoreOutcome(
        override val request: RequestId,
        override val storeCallId: Long,
        override val key: RecordKey,
        val record: CallRecord,
        val expected: Long,
        override val deadline: Duration,
    ) : Store()

    /** Find an upstream and dispatch the attempt to it. */
    public data class Place(val placement: Placement) : IdempotencyAction()

    /** Cancel [attempt], whose result is no longer needed. */
    public data class Cancel(val attempt: AttemptId) : IdempotencyAction()

    /** Send [part] to the caller of [request]. */
    public data class Deliver(val request: RequestId, val part: AnswerPart) : IdempotencyAction()
}
