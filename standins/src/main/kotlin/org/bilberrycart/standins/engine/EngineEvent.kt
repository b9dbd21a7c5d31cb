package org.bilberrycart.standins.engine

/** An event that [EngineFilter] reacts to. */
sealed class EngineEvent {
    /** The time of the next decode step or sweep has come. */
    data object Tick : EngineEvent()

    /** A caller asks for a new stream, to be followed by [reader]. */
    data class Open(val request: StreamRequest, val reader: ReaderId) : EngineEvent()

    /** A caller asks for the tokens of [attempt] from index [from]. */
    data class Read(val attempt: String, val from: Int, val reader: ReaderId) : EngineEvent()

    /** The response of [reader] ended. */
    data class ReaderClosed(val reader: ReaderId) : EngineEvent()

    /** A caller cancels [attempt]. */
    data class Cancel(val attempt: String, val reader: ReaderId) : EngineEvent()

    /** A controller sends [command] with its fencing number. */
    data class CommandReceived(
        val fencing: Long,
        val command: EngineCommand,
        val reader: ReaderId,
    ) : EngineEvent()

    /** A test injects [fault]; [reader], if any, waits until it is in force. */
    data class FaultInjected(val fault: EngineFault, val reader: ReaderId? = null) : EngineEvent()
}
