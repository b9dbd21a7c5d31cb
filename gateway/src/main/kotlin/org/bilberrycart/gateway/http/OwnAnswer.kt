package org.bilberrycart.gateway.http

import org.bilberrycart.gateway.model.Body
import org.bilberrycart.gateway.model.Header

/** An answer of the node's own. */
public data class OwnAnswer(val status: Int, val headers: List<Header>, val body: Body)
