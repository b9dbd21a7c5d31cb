package org.bilberrycart.bench.processes

import kotlin.time.Duration

/** A fault on the schedule of a run, and its end. */
sealed class ProcessFault {
    /** How long the fault lasts. */
    abstract val lasts: Duration

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

    /** A SIGKILL to a node, which restarts in the end. */
    data class KillNode(val node: Int, override val lasts: Duration) : ProcessFault()

    /** A SIGKILL to an engine, which restarts in the end. */
    data class KillEngine(val engine: Int, override val lasts: Duration) : ProcessFault()

    /** A SIGSTOP to a node and a SIGCONT in the end. */
    data class PauseNode(val node: Int, override val lasts: Duration) : ProcessFault()

    /** A SIGSTOP to an engine and a SIGCONT in the end. */
    data class PauseEngine(val engine: Int, override val lasts: Duration) : ProcessFault()

    /** The open connections of an engine go silent for good. */
    data class SilenceEngine(val engine: Int, override val lasts: Duration) : ProcessFault()

    /** The next calls of the action service lose their answers after they ran. */
    data class LoseAnswers(val calls: Int, override val lasts: Duration) : ProcessFault()

    /** The platform's stores misbehave as [faults] says. */
    data class Platform(val faults: String, override val lasts: Duration) : ProcessFault()
}
