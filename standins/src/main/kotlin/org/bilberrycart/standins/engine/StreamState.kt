package org.bilberrycart.standins.engine

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf

/** Where a stream is in its life. */
sealed class StreamPhase {
    /** It waits for a slot. */
    data object Queued : StreamPhase()

    /** Its prompt and prefix are computed until [until]. */
    data class Prefilling(val until: Duration) : StreamPhase()

    /** It takes part in each decode step. */
    data object Decoding : StreamPhase()

    /** It ended at [at] with [ending]; it can be read for a while. */
    data class Ended(val at: Duration, val ending: StreamEnding) : StreamPhase()
}

/** How a stream ended. */
enum class StreamEnding(val reason: String?) {
    /** The model ended its answer. */
    STOP("stop"),

    /** The answer reached its limit. */
    LENGTH("length"),

    /** It was cut without a finish event. */
    CUT(null),
}

/**
 * One generation attempt on the engine.
 *
 * @property order the arrival order, for the queue.
 * @property next the index of the next token.
 * @property length how many tokens the whole answer has.
 * @property readers the readers that follow the stream.
 * @property unreadSince since when nobody reads it.
 */
data class StreamState(
    val request: StreamRequest,
    val source: TokenSource,
    val order: Long,
    val next: Int,
    val length: Int,
    val phase: StreamPhase = StreamPhase.Queued,
    val readers: PersistentSet<ReaderId> = persistentSetOf(),
    val unreadSince: Duration? = null,
) {
    /** Whether it holds a slot. */
    val isRunning: Boolean
        get() = phase is StreamPhase.Decoding || phase is StreamPhase.Prefilling

    /** Returns this stream without [reader]; nobody reads it from [now] if that was the last. */
    fun without(reader: ReaderId, now: Duration): StreamState {
        val left = readers.remove(reader)
        return copy(readers = left, unreadSince = if (left.isEmpty()) now else null)
    }

    companion object {
        /** Returns the queued stream of [request]. */
        fun of(request: StreamRequest, reader: ReaderId, order: Long): StreamState {
            val asked = request.source()
            val expected = List(request.prefix.size) { asked.token(it) }
            val source =
                if (expected == request.prefix) {
                    asked
                } else {
                    asked.copy(prompt = request.prefix.joinToString("|", "${asked.prompt}|"))
                }
            return StreamState(
                request = request,
                source = source,
                order = order,
                next = request.prefix.size,
                length = asked.length(request.maxTokens),
                readers = persistentSetOf(reader),
            )
        }

        private fun StreamRequest.source() = TokenSource(prompt, model, adapter, version, seed)
    }
}
