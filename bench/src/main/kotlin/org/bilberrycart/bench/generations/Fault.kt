package org.bilberrycart.bench.generations

import org.bilberrycart.model.RequestId
import org.bilberrycart.model.VmId

/** What goes wrong in a run. */
sealed class Fault {
    /** The process of [vm] dies with all it knew; an empty one starts later. */
    data class Kill(val vm: VmId) : Fault()

    /** The process of [vm] stands still, then goes on as if nothing happened. */
    data class Pause(val vm: VmId) : Fault()

    /** No message passes between [one] and [other]; their callers are not concerned. */
    data class Cut(val one: VmId, val other: VmId) : Fault()

    /** The table answers nobody. */
    data object TableOutage : Fault()

    /** [at] believes that [of] is dead. */
    data class FalseDeath(val at: VmId, val of: VmId) : Fault()

    /** The connection of the caller of [request] breaks. */
    data class Disconnect(val request: RequestId) : Fault()

    /** [vm] leaves: it hands over, and its process ends. */
    data class Leave(val vm: VmId) : Fault()
}
