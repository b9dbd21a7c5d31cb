package org.bilberrycart.standins.platform

/** An event of the platform stand-in; the exchange [exchangeId] waits for the reply. */
sealed class StandInEvent {
    abstract val exchangeId: Long

    /** Applies each of [groups] whose conditions all hold. */
    data class Transact(override val exchangeId: Long, val groups: List<GroupMessage>) :
        StandInEvent()

    /** Reads the row of [key]. */
    data class ReadRow(override val exchangeId: Long, val key: String) : StandInEvent()

    /** Reads the rows of [table] whose names start with [prefix]. */
    data class Scan(override val exchangeId: Long, val table: String, val prefix: String) :
        StandInEvent()

    /** Stores [value] as the object [name]. */
    data class PutObject(override val exchangeId: Long, val name: String, val value: String) :
        StandInEvent()

    /** Reads the object [name]. */
    data class GetObject(override val exchangeId: Long, val name: String) : StandInEvent()

    /** Reads the weights [name] from the rate-limited weight store. */
    data class GetWeights(override val exchangeId: Long, val name: String) : StandInEvent()

    /** Reads the list of VMs, which lags by [PlatformFaults.vmLagMillis]. */
    data class ListVms(override val exchangeId: Long) : StandInEvent()

    /** Adds or changes [vm]. */
    data class SetVm(override val exchangeId: Long, val vm: VmMessage) : StandInEvent()

    /** Removes the VM [id]. */
    data class RemoveVm(override val exchangeId: Long, val id: String) : StandInEvent()

    /** Replaces the faults in force by [faults]. */
    data class SetFaults(override val exchangeId: Long, val faults: PlatformFaults) : StandInEvent()

    /** Reads the counters. */
    data class ReadCounters(override val exchangeId: Long) : StandInEvent()
}
