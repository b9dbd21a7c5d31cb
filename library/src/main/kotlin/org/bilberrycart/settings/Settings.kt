package org.bilberrycart.settings

/**
 * The validated settings of one node.
 *
 * @property node the settings of this VM only, which are never published.
 * @property fleet the settings that all nodes share, stored by the platform with a version.
 */
public data class Settings(val node: NodeSettings, val fleet: FleetSettings)
