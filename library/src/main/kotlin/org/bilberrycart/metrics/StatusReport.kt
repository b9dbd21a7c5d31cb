package org.bilberrycart.metrics

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.bilberrycart.model.DataCentreId
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.RequestClass
import org.bilberrycart.model.ServiceId
import org.bilberrycart.model.UpstreamId
import org.bilberrycart.model.VmId

/**
 * The current state of a node.
 *
 * @property readiness `ready`, or the reason why the node accepts no new work.
 * @property configurationVersion the version of the configuration in use; null if it was read from
 *   a folder.
 * @property inFlight the number of admitted requests that have not ended.
 * @property waiting the waiting requests, grouped by organisation, service, class and cause.
 */
@Serializable
public data class StatusReport(
    val vm: VmId,
    val dataCentre: DataCentreId,
    val readiness: String,
    val uptimeMillis: Long,
    val configurationVersion: Long? = null,
    val inFlight: Int = 0,
    val waiting: List<WaitingGroup> = emptyList(),
    val upstreams: List<UpstreamStatus> = emptyList(),
    val rings: List<RingStatus> = emptyList(),
)

/**
 * Requests of one organisation, service and class that wait for the same [cause].
 *
 * @property requests the number of waiting requests.
 * @property longestMillis the time since the arrival of the oldest of them.
 */
@Serializable
public data class WaitingGroup(
    val organisation: OrganisationId,
    val service: ServiceId,
    val requestClass: RequestClass,
    val cause: WaitCause,
    val requests: Int,
    val longestMillis: Long,
)

/** What a request waits for. */
@Serializable
public enum class WaitCause {
    /** Admission, because of the limits of its organisation or the capacity of the fleet. */
    @SerialName("admission")
    ADMISSION,

    /** An upstream with a free slot. */
    @SerialName("upstream")
    UPSTREAM,

    /** The first token from its engine. */
    @SerialName("firstToken")
    FIRST_TOKEN,

    /** Another engine, after the loss of one. */
    @SerialName("resume")
    RESUME,

    /** A replica holder to confirm its tokens. */
    @SerialName("replica")
    REPLICA,

    /** Its caller, which is not reading the answer. */
    @SerialName("caller")
    CALLER,
}

/** An upstream as known to the node; [state] is `up`, `leaving`, `ejected` or `gone`. */
@Serializable
public data class UpstreamStatus(
    val id: UpstreamId,
    val state: String,
    val slots: Int,
    val running: Int,
    val queued: Int,
)

/** The counters of one ring. */
@Serializable
public data class RingStatus(val name: String, val capacity: Int, val held: Int, val refused: Long)
