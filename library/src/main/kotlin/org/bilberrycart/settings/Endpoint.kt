package org.bilberrycart.settings

import kotlinx.serialization.Serializable

/** An IP [address] and a [port]; a listener with port 0 gets any free port. */
@Serializable
public data class Endpoint(val address: String, val port: Int) {
    override fun toString(): String = "$address:$port"
}
