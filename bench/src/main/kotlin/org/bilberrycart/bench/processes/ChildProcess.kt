package org.bilberrycart.bench.processes

import java.io.File
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/**
 * A process of bilberrycart's command line that a run may kill, pause and start again.
 *
 * @property name the name of its log file in [folder].
 * @property arguments the arguments of the command line.
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

    /** Starts the process if it is not alive. */
    fun startAgain() {
        if (process?.isAlive != true) start()
    }

    /** Sends SIGKILL and waits for the end. */
    fun kill() {
        process?.destroyForcibly()?.waitFor(WAIT_SECONDS, TimeUnit.SECONDS)
    }

    /** Sends SIGSTOP. */
    fun pause() = signal("STOP")

    /** Sends SIGCONT. */
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
        const val WAIT_SECONDS = 5L
    }
}
