package org.bilberrycart.gateway.placement

import org.bilberrycart.gateway.model.UpstreamId

/** A copy of a lost run's memory at [holder], taken over for the call with id [run]. */
public data class MemoryCopy(val holder: UpstreamId, val run: String)
