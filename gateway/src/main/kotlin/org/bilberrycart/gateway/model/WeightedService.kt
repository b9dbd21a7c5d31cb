package org.bilberrycart.gateway.model

/** A service and the relative weight of its share of a route's calls. */
public data class WeightedService(val service: ServiceName, val weight: Int)
