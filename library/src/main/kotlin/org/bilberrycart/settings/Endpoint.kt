package org.bilberrycart.settings

import kotlinx.serialization.Serializable

/** An IP [address] and a [port]; port 0 lets the VM choose a free one to listen on. */
@Serializable
public data class Endpoint(val address: String, val port: Int) {
    override fun toString(): String = "$address:$port"
}
