package org.bilberrycart.gateway.placement

/**
 * The crash of an upstream on a call.
 *
 * @property run the run of the upstream that ended, as far as the registry tells the runs apart.
 * @property number tells several crashes of this run apart, since the registry may be late.
 */
public data class UpstreamCrash(val run: Incarnation, val number: Int = 1)
