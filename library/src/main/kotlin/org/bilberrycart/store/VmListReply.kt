package org.bilberrycart.store

import kotlinx.collections.immutable.PersistentList

/** The outcome of one read of the platform's list of VMs. */
public sealed class VmListReply {
    /** The list, which may be out of date. */
    public data class Listed(val vms: PersistentList<ListedVm>) : VmListReply()

    /** The list could not be read, because of [failure]. */
    public data class Failed(val failure: StoreFailure) : VmListReply()
}
