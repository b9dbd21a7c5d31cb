package org.bilberrycart.gateway.model

/** One header field of a request or a response, as it stood on the wire. */
public data class Header(val name: String, val value: String)
