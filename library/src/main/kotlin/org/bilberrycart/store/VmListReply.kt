package org.bilberrycart.store

import kotlinx.collections.immutable.PersistentList

/** What a read of the platform's list of VMs brought. */
public sealed class VmListReply {
    /** The list, which may be out of date. */
    public data class Listed(val vms: PersistentList<ListedVm>) : VmListReply()

    /** No answer. */
    public data class Failed(val failure: StoreFailure) : VmListReply()
}
