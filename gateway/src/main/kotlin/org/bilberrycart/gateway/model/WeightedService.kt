package org.bilberrycart.gateway.model

/** A service and its share of a route's calls. */
public data class WeightedService(val service: ServiceName, val weight: Int)
