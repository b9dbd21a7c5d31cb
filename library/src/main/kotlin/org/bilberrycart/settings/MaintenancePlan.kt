package org.bilberrycart.settings

import kotlinx.collections.immutable.persistentSetOf
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.bilberrycart.model.DataCentreId
import org.bilberrycart.model.ModelRef
import org.bilberrycart.model.UpstreamId

/** A change to upstreams that an operator plans; the lease holder carries it out. */
@Serializable
public sealed class MaintenancePlan {
    /**
     * Drains upstreams, at most [atOnce] at a time: no new work, work in progress ends in peace.
     *
     * @property upstreams the upstreams named one by one.
     * @property dataCentres the data centres whose upstreams all leave.
     */
    @Serializable
    @SerialName("drain")
    public data class Drain(
        val upstreams: SettingsSet<UpstreamId> = persistentSetOf(),
        val dataCentres: SettingsSet<DataCentreId> = persistentSetOf(),
        val atOnce: Int = 1,
    ) : MaintenancePlan()

    /** Loads [model] on [upstreams], at most [atOnce] at a time. */
    @Serializable
    @SerialName("load")
    public data class Load(
        val model: ModelRef,
        val upstreams: SettingsSet<UpstreamId>,
        val atOnce: Int = 1,
    ) : MaintenancePlan()
}
