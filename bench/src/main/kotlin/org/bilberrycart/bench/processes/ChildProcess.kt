package org.bilberrycart.bench.processes

import java.io.File
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/**
 * A child process with bilberrycart's command line that a run can kill, pause and restart.
 *
 * @property name the name of the log file in [folder], without the suffix `.log`.
 * @property arguments the arguments of the command line.
 * @property environment variables that are added to the inherited environment.
 */
class ChildProcess(
    private val name: String,
    private val folder: Path,
    private val arguments: List<String>,
    private val environment: Map<String, String> = emptyMap(),
) : AutoCloseable {
    @Volatile private var process: Process? = null

    /** Starts the process. */
    fun start(): ChildProcess = apply {
        val log = folder.resolve("$name.log").toFile()
        val builder = ProcessBuilder(listOf(JAVA) + JVM_OPTIONS + CLASS_PATH + MAIN + arguments)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
        builder.environment().putAll(environment)
        process = builder.start()
    }

    /** Starts the process unless it is alive. */
    fun startIfNotAlive() {
        if (process?.isAlive != true) start()
    }

    /** Sends SIGKILL and waits a few seconds for the process to end. */
    fun kill() {
        process?.destroyForcibly()?.waitFor(KILL_TIMEOUT_SECONDS, TimeUnit.SECONDS)
    }

    /** Sends SIGSTOP, unless the process has ended. */
    fun pause() = signal("STOP")

    /** Sends SIGCONT, unless the process has ended. */
    fun resume() = signal("CONT")

    override fun close() = kill()

    private fun signal(signal: String) {
        val alive = process?.takeIf { it.isAlive } ?: return
        ProcessBuilder("kill", "-$signal", alive.pid().toString()).start().waitFor()
    }

    private companion object {
        val JAVA = File(System.getProperty("java.home"), "bin/java").path
        val JVM_OPTIONS = listOf("-Xmx256m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1")
        val CLASS_PATH = listOf("-cp", System.getProperty("java.class.path"))
        const val MAIN = "org.bilberrycart.daemon.MainKt"
        const val KILL_TIMEOUT_SECONDS = 5L
    }
}
