package org.bilberrycart.bench.generations

import kotlin.time.Duration

/** A fault that strikes at [at] those nodes that then have a [role] in the first generation. */
data class ScriptedFault(val at: Duration, val role: Role, val kind: Kind) {
    /** Whom the fault strikes. */
    enum class Role { OWNER, HOLDER, BOTH }

    /** What strikes; CUT parts the owner from its holder. */
    enum class Kind { KILL, PAUSE, LEAVE, CUT }
}
