package org.bilberrycart.settings

import kotlinx.collections.immutable.persistentSetOf
import kotlinx.serialization.Serializable
import org.bilberrycart.model.DataCentreId
import org.bilberrycart.model.ModelRef
import org.bilberrycart.model.ServiceId
import org.bilberrycart.model.Upstream
import org.bilberrycart.model.UpstreamId

/** The settings of an upstream; [Upstream] describes the properties. */
@Serializable
public data class UpstreamSettings(
    val address: String,
    val port: Int,
    val dataCentre: DataCentreId,
    val services: SettingsSet<ServiceId>,
    val models: SettingsSet<ModelRef> = persistentSetOf(),
    val slots: Int,
    val checksFencing: Boolean = false,
) {
    /** Returns the [Upstream] with these settings and [id]. */
    public fun toUpstream(id: UpstreamId): Upstream = Upstream(
        id = id,
        address = address,
        port = port,
        dataCentre = dataCentre,
        services = services,
        models = models,
        slots = slots,
        checksFencing = checksFencing,
    )
}
