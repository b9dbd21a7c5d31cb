package org.bilberrycart.gateway.metrics

import org.bilberrycart.gateway.model.RetryUse

/** The use of the retry budget of [service] by this node and, as far as known, by its [peers]. */
public data class ServiceRetryUse(val service: String, val own: RetryUse, val peers: RetryUse)
