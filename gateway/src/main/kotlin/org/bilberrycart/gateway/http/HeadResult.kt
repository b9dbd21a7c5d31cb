package org.bilberrycart.gateway.http

import org.bilberrycart.gateway.model.CallHead
import org.bilberrycart.gateway.model.Refusal

/** The result of reading the head of a caller's request. */
public sealed class HeadResult {
    /** The request can be processed. */
    public data class Read(val head: CallHead) : HeadResult()

    /** The request is answered with [refusal]. */
    public data class Refused(val refusal: Refusal) : HeadResult()
}
