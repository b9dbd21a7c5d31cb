package org.bilberrycart.settings

/**
 * All settings of one node, checked whole.
 *
 * @property node what is local to the VM; it is never published.
 * @property fleet what all nodes share; the platform's store keeps it under a version.
 */
public data class Settings(val node: NodeSettings, val fleet: FleetSettings)
