package org.bilberrycart.bench.generations

import kotlin.time.Duration

/** A fault that begins at [at] on the nodes that have [role] in the first generation by then. */
data class ScriptedFault(val at: Duration, val role: Role, val kind: Kind) {
    /** The nodes of a generation that the fault affects. */
    enum class Role { OWNER, HOLDER, BOTH }

    /** The kind of fault; CUT blocks all messages between the owner and the holder. */
    enum class Kind { KILL, PAUSE, LEAVE, CUT }
}
