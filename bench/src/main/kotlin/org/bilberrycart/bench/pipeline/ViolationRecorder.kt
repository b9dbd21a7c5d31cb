package org.bilberrycart.bench.pipeline

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/** Records the violations of one randomised run and, if [isTraced], its trace. */
internal class ViolationRecorder(private val isTraced: Boolean) {
    /** The messages of the checks that failed, in order. */
    var violations: PersistentList<String> = persistentListOf()
        private set

    /** The last lines of the trace. */
    var traceLines: PersistentList<String> = persistentListOf()
        private set

    /** Records a violation with [message] unless [holds]. */
    fun check(holds: Boolean, message: () -> String) {
        if (holds) return
        val text = message()
        violations = violations.add(text)
        trace { "VIOLATION: $text" }
    }

    /** Adds a line to the trace; beyond [MAX_LINES], the oldest line is dropped. */
    fun trace(line: () -> String) {
        if (!isTraced) return
        val retained = if (traceLines.size >= MAX_LINES) traceLines.removeAt(0) else traceLines
        traceLines = retained.add(line())
    }

    private companion object {
        const val MAX_LINES = 20_000
    }
}
