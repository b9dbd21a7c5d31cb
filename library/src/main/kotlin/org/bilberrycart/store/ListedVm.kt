package org.bilberrycart.store

/**
 * An entry of the list of VMs that the platform provides; the list may be out of date.
 *
 * @property isNode whether the VM runs a node of the system; otherwise it runs an upstream.
 * @property isLeaving whether the platform is about to remove the VM.
 * @property address the IP address of the VM.
 */
public data class ListedVm(
    val id: String,
    val isNode: Boolean,
    val isLeaving: Boolean,
    val address: String,
    val port: Int,
    val dataCentre: String,
)
