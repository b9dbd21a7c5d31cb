package org.bilberrycart.bench.pipeline

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/** Collects the violations and, if asked to, the trace of one randomised run. */
internal class RunWatch(private val isTraced: Boolean) {
    /** What was seen that must not be. */
    var violations: PersistentList<String> = persistentListOf()
        private set

    /** The last lines of the trace. */
    var lines: PersistentList<String> = persistentListOf()
        private set

    /** Notes a violation unless [holds]. */
    fun check(holds: Boolean, message: () -> String) {
        if (holds) return
        val text = message()
        violations = violations.add(text)
        trace { "VIOLATION: $text" }
    }

    /** Notes a line of the trace. */
    fun trace(line: () -> String) {
        if (!isTraced) return
        val kept = if (lines.size >= MAX_LINES) lines.removeAt(0) else lines
        lines = kept.add(line())
    }

    private companion object {
        const val MAX_LINES = 20_000
    }
}
