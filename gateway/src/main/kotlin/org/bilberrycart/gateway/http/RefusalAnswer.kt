package org.bilberrycart.gateway.http

import org.bilberrycart.gateway.model.Body
import org.bilberrycart.gateway.model.Header

/** An answer that the node sends itself to report a refusal. */
public data class RefusalAnswer(val status: Int, val headers: List<Header>, val body: Body)
