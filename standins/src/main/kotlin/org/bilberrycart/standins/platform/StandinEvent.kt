package org.bilberrycart.standins.platform

/** What the platform stand-in reacts to; [ticket] names the exchange that waits for the reply. */
sealed class StandinEvent {
    abstract val ticket: Long

    /** Apply each of [groups] whose conditions hold. */
    data class Transact(override val ticket: Long, val groups: List<GroupMessage>) :
        StandinEvent()

    /** Read the row of [key]. */
    data class ReadRow(override val ticket: Long, val key: String) : StandinEvent()

    /** Read the rows of [table] that start with [prefix]. */
    data class Scan(override val ticket: Long, val table: String, val prefix: String) :
        StandinEvent()

    /** Keep [value] as the object [name]. */
    data class PutObject(override val ticket: Long, val name: String, val value: String) :
        StandinEvent()

    /** Read the object [name]. */
    data class GetObject(override val ticket: Long, val name: String) : StandinEvent()

    /** Read the weights [name] from the rate-limited weight store. */
    data class GetWeights(override val ticket: Long, val name: String) : StandinEvent()

    /** Read the list of VMs, which lags. */
    data class ListVms(override val ticket: Long) : StandinEvent()

    /** [vm] is new or changed. */
    data class SetVm(override val ticket: Long, val vm: VmMessage) : StandinEvent()

    /** The VM [id] is gone. */
    data class RemoveVm(override val ticket: Long, val id: String) : StandinEvent()

    /** Misbehave as [faults] says from now on. */
    data class SetFaults(override val ticket: Long, val faults: Faults) : StandinEvent()

    /** Report the counters. */
    data class ReadCounters(override val ticket: Long) : StandinEvent()
}
