package org.bilberrycart.idempotency

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What an operator may do about the record of a call whose outcome is unknown. */
public sealed class Settlement {
    /** There is no record, so the call did not get as far as reserving its key. */
    public data object NoRecord : Settlement()

    /** The outcome is known, so there is nothing to settle. */
    public data class Settled(val progress: Progress) : Settlement()

    /** The owner may still send the call; check again whether the record changed after [wait]. */
    public data class Wait(val wait: Duration) : Settlement()

    /** The record may be settled now. */
    public data object Open : Settlement()

    public companion object {
        /** Returns what may be done about [stored], which has not changed for [unchangedFor]. */
        public fun of(
            stored: StoredRecord?,
            unchangedFor: Duration,
            limits: IdempotencyLimits = IdempotencyLimits(),
        ): Settlement {
            val record = stored?.record ?: return NoRecord
            val pendingTimeout = record.budgetMillis.milliseconds + limits.lateAnswerWindow
            return when (val progress = record.progress) {
                is Progress.Done, Progress.NotRun -> Settled(progress)
                Progress.Unknown -> Open
                Progress.Pending -> when {
                    unchangedFor >= pendingTimeout -> Open
                    else -> Wait(pendingTimeout - unchangedFor)
                }
            }
        }
    }
}
