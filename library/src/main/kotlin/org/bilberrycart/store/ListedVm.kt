package org.bilberrycart.store

/**
 * A VM or an upstream as the platform lists it; the list lags.
 *
 * @property isNode whether it is a node of the system; otherwise it is an upstream.
 * @property isLeaving whether the platform is about to take it away.
 * @property address its IP address.
 */
public data class ListedVm(
    val id: String,
    val isNode: Boolean,
    val isLeaving: Boolean,
    val address: String,
    val port: Int,
    val dataCentre: String,
)
