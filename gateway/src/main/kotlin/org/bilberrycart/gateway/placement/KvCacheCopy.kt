package org.bilberrycart.gateway.placement

import org.bilberrycart.gateway.model.UpstreamId

/** A copy of a lost attempt's KV cache at [holder], stored under the call's [requestId]. */
public data class KvCacheCopy(val holder: UpstreamId, val requestId: String)
