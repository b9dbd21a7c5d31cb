package org.bilberrycart.gateway.node

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.gateway.discovery.DiscoverySettings
import org.bilberrycart.gateway.placement.PlacementSettings

/** Upstreams that begin to leave are known well before they stop serving. */
private const val FOLLOWS_PER_DRAIN = 3

/** Returns the part of these settings that placement needs. */
internal fun GatewaySettings.placementSettings(): PlacementSettings = PlacementSettings(
    retryWindow = repeatWindowSeconds.seconds,
    retryRatio = repeatRatio,
    retrySlack = repeatSlack,
)

/** Returns the part of these settings that discovery needs. */
internal fun GatewaySettings.discoverySettings(): DiscoverySettings = DiscoverySettings(
    maxFollowDelay = drainMillis.milliseconds / FOLLOWS_PER_DRAIN,
    applyTime = shortestApplyMillis().milliseconds,
    contactTime = contactMillis.milliseconds,
)

/** Returns the shortest time in which a change of any table has to be acted on. */
private fun GatewaySettings.shortestApplyMillis(): Long =
    minOf(applyMillis ?: drainMillis, drainMillis, contactMillis)
