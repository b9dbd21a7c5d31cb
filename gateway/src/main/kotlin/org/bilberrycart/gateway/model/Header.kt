package org.bilberrycart.gateway.model

/** One header field of a request or a response, as it was received or will be sent. */
public data class Header(val name: String, val value: String)
