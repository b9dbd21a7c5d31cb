package org.bilberrycart.bench.processes

import kotlin.time.Duration

/** A scheduled fault of a run. */
sealed class ProcessFault {
    /** The time from the beginning of the fault to its end. */
    abstract val duration: Duration

    /** The name under which reports count the fault. */
    val name: String
        get() = when (this) {
            is KillNode -> "killNode"
            is KillEngine -> "killEngine"
            is PauseNode -> "pauseNode"
            is PauseEngine -> "pauseEngine"
            is SilenceEngine -> "silenceEngine"
            is LoseAnswers -> "loseAnswers"
            is Platform -> "platform"
        }

    /** A node is killed with SIGKILL and started again at the end. */
    data class KillNode(val node: Int, override val duration: Duration) : ProcessFault()

    /** An engine is killed with SIGKILL and started again at the end. */
    data class KillEngine(val engine: Int, override val duration: Duration) : ProcessFault()

    /** A node is stopped with SIGSTOP and continued with SIGCONT at the end. */
    data class PauseNode(val node: Int, override val duration: Duration) : ProcessFault()

    /** An engine is stopped with SIGSTOP and continued with SIGCONT at the end. */
    data class PauseEngine(val engine: Int, override val duration: Duration) : ProcessFault()

    /**
     * The open connections of an engine stay open but send nothing more. The end of the fault
     * doesn't change that.
     */
    data class SilenceEngine(val engine: Int, override val duration: Duration) : ProcessFault()

    /** The next [calls] calls of the action service are executed, but their answers are lost. */
    data class LoseAnswers(val calls: Int, override val duration: Duration) : ProcessFault()

    /** The platform injects the faults of the JSON object [faults] into its stores. */
    data class Platform(val faults: String, override val duration: Duration) : ProcessFault()
}
