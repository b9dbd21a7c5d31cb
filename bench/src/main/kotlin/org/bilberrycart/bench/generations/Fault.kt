package org.bilberrycart.bench.generations

import org.bilberrycart.model.RequestId
import org.bilberrycart.model.VmId

/** A fault that a simulated run injects. */
sealed class Fault {
    /** The process of [vm] dies and loses its state; a new process with no state starts later. */
    data class Kill(val vm: VmId) : Fault()

    /** The process of [vm] stops for a while and then continues with its state unchanged. */
    data class Pause(val vm: VmId) : Fault()

    /** No message passes between [one] and [other]; connections of callers are not affected. */
    data class Cut(val one: VmId, val other: VmId) : Fault()

    /** No write to the table succeeds. */
    data object TableOutage : Fault()

    /** The node [at] receives a record that says that [of] is dead, even if [of] runs. */
    data class FalseDeath(val at: VmId, val of: VmId) : Fault()

    /** The connection of the caller of [request] is lost. */
    data class Disconnect(val request: RequestId) : Fault()

    /** The node [vm] leaves the fleet: it hands its generations over, and its process ends. */
    data class Leave(val vm: VmId) : Fault()
}
