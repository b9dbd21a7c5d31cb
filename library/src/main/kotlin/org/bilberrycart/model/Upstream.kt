package org.bilberrycart.model

/**
 * A model engine or an instance of a plain service, as declared by the configuration.
 *
 * @property address the IP address of the upstream.
 * @property services the services whose requests the upstream handles.
 * @property models the models that the engine has loaded; empty for a plain service.
 * @property slots the number of requests that the upstream runs concurrently.
 * @property checksFencing whether the upstream rejects orders with an outdated fencing number.
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
