package org.bilberrycart.settings

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentSet
import kotlinx.serialization.Serializable
import org.bilberrycart.model.DataCentreId
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.RequestClass
import org.bilberrycart.model.ServiceId
import org.bilberrycart.model.Upstream
import org.bilberrycart.model.UpstreamId

/** The settings that all nodes share; they are published and versioned as the configuration. */
@Serializable
public data class FleetSettings(
    val dataCentres: SettingsMap<DataCentreId, DataCentreSettings>,
    val organisations: SettingsMap<OrganisationId, OrganisationSettings> = persistentMapOf(),
    val services: SettingsMap<ServiceId, ServiceSettings> = persistentMapOf(),
    val upstreams: SettingsMap<UpstreamId, UpstreamSettings> = persistentMapOf(),
    val limits: LimitSettings = LimitSettings(),
    val classes: SettingsMap<RequestClass, ClassSettings> = persistentMapOf(),
    val maintenancePlans: SettingsMap<String, MaintenancePlan> = persistentMapOf(),
) {
    /** Returns all declared upstreams in the form that routing and dispatch use. */
    public fun declaredUpstreams(): PersistentSet<Upstream> =
        upstreams.map { (id, upstream) -> upstream.toUpstream(id) }.toPersistentSet()

    /** Returns the settings of [requestClass], or its defaults if no settings file sets them. */
    public fun classSettings(requestClass: RequestClass): ClassSettings =
        classes[requestClass] ?: ClassSettings.defaultOf(requestClass)

    /** Returns the services that [organisation] may call. */
    public fun servicesOf(organisation: OrganisationId): PersistentSet<ServiceId> =
        organisations[organisation]?.services ?: persistentSetOf()
}
