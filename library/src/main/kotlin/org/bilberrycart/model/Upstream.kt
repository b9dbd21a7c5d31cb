package org.bilberrycart.model

/**
 * A model engine or an instance of a plain service, as the configuration declares it.
 *
 * @property address the IP address of the upstream.
 * @property services the services it serves.
 * @property models what it has loaded; empty for a plain service.
 * @property slots how many requests it runs at once.
 * @property checksFencing whether it refuses an order that carries an old fencing number.
 */
public data class Upstream(
    val id: UpstreamId,
    val address: String,
    val port: Int,
    val dataCentre: DataCentreId,
    val services: Set<ServiceId>,
    val models: Set<ModelRef> = emptySet(),
    val slots: Int,
    val checksFencing: Boolean = false,
)
