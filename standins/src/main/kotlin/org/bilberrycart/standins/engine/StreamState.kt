package org.bilberrycart.standins.engine

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf

/** The phase of a stream, from its arrival to its end. */
sealed class StreamPhase {
    /** The stream waits for a slot. */
    data object Queued : StreamPhase()

    /** The engine computes the prompt and the prefix until [until]. */
    data class Prefilling(val until: Duration) : StreamPhase()

    /** The stream gets a token in each decode step. */
    data object Decoding : StreamPhase()

    /** The stream ended at [at]; it stays readable for [EngineSettings.keepMillis] ms. */
    data class Ended(val at: Duration, val ending: StreamEnding) : StreamPhase()
}

/**
 * How a stream ended.
 *
 * @property reason the reason in the finish event; null if none is sent.
 */
enum class StreamEnding(val reason: String?) {
    /** The model ended its answer. */
    STOP("stop"),

    /** The answer reached its limit. */
    LENGTH("length"),

    /** The stream was ended without a finish event. */
    CUT(null),
}

/**
 * One generation attempt on the engine.
 *
 * @property arrivalOrder the position in the order of arrival.
 * @property nextIndex the index of the next token.
 * @property length how many tokens the whole answer has.
 * @property readers the readers that follow the stream.
 * @property unreadSince when the last reader closed; null while there is a reader.
 */
data class StreamState(
    val request: StreamRequest,
    val source: TokenSource,
    val arrivalOrder: Long,
    val nextIndex: Int,
    val length: Int,
    val phase: StreamPhase = StreamPhase.Queued,
    val readers: PersistentSet<ReaderId> = persistentSetOf(),
    val unreadSince: Duration? = null,
) {
    /** Whether the stream holds a slot. */
    val isRunning: Boolean
        get() = phase is StreamPhase.Decoding || phase is StreamPhase.Prefilling

    /** Returns this stream without [reader]; without the last one it is unread from [now]. */
    fun withoutReader(reader: ReaderId, now: Duration): StreamState {
        val left = readers.remove(reader)
        return copy(readers = left, unreadSince = if (left.isEmpty()) now else null)
    }

    companion object {
        /**
         * Returns the queued stream of [request].
         *
         * If the prefix is not the beginning of the requested generation, the tokens differ from
         * those of that generation.
         */
        fun of(request: StreamRequest, reader: ReaderId, arrivalOrder: Long): StreamState {
            val requested = request.source()
            val expectedPrefix = List(request.prefix.size) { requested.token(it) }
            val source =
                if (expectedPrefix == request.prefix) {
                    requested
                } else {
                    requested.copy(
                        prompt = request.prefix.joinToString("|", "${requested.prompt}|"),
                    )
                }
            return StreamState(
                request = request,
                source = source,
                arrivalOrder = arrivalOrder,
                nextIndex = request.prefix.size,
                length = requested.length(request.maxTokens),
                readers = persistentSetOf(reader),
            )
        }

        private fun StreamRequest.source() = TokenSource(prompt, model, adapter, version, seed)
    }
}
