package org.bilberrycart.gateway.http

import org.bilberrycart.gateway.model.CallHead
import org.bilberrycart.gateway.model.Refusal

/** The result of reading the head of a request. */
public sealed class HeadResult {
    /** The head can be served. */
    public data class Read(val head: CallHead) : HeadResult()

    /** The head is refused. */
    public data class Unreadable(val refusal: Refusal) : HeadResult()
}
