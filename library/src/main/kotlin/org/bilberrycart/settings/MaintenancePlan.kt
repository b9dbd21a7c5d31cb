package org.bilberrycart.settings

import kotlinx.collections.immutable.persistentSetOf
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.bilberrycart.model.DataCentreId
import org.bilberrycart.model.ModelRef
import org.bilberrycart.model.UpstreamId

/** A planned change to upstreams, which the node that holds the lease carries out. */
@Serializable
public sealed class MaintenancePlan {
    /**
     * Drains upstreams, at most [atOnce] at a time.
     *
     * A draining upstream gets no new work, and work in progress runs to its end.
     *
     * @property upstreams the upstreams to drain.
     * @property dataCentres the data centres of which all upstreams are drained.
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
