package org.bilberrycart.standins.engine

/** What happens to an engine. */
sealed class EngineEvent {
    /** The time of the next decode step or clean-up has come. */
    data object Tick : EngineEvent()

    /** A caller asks for a new stream, to be followed by [reader]. */
    data class Open(val request: StreamRequest, val reader: ReaderId) : EngineEvent()

    /** A caller asks for the tokens of [attempt] from index [from]. */
    data class Read(val attempt: String, val from: Int, val reader: ReaderId) : EngineEvent()

    /** The response of [reader] ended. */
    data class ReaderGone(val reader: ReaderId) : EngineEvent()

    /** A caller cancels [attempt]. */
    data class Cancel(val attempt: String, val reader: ReaderId) : EngineEvent()

    /** A controller gives [order] with its fencing number. */
    data class Ordered(val fencing: Long, val order: EngineOrder, val reader: ReaderId) :
        EngineEvent()

    /** A test brings about [fault]. */
    data class Faulted(val fault: EngineFault, val reader: ReaderId? = null) : EngineEvent()
}
