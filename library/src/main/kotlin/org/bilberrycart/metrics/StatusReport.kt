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
 * What a node does now.
 *
 * @property readiness `ready`, or why the node takes no new work.
 * @property configurationVersion the version in force; null if it came from a folder.
 * @property inFlight requests admitted and not over.
 * @property waiting who waits and why.
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

/** Requests of one organisation and class that wait for the same [cause]. */
@Serializable
public data class WaitingGroup(
    val organisation: OrganisationId,
    val service: ServiceId,
    val requestClass: RequestClass,
    val cause: WaitCause,
    val requests: Int,
    val longestMillis: Long,
)

/** Why a request waits. */
@Serializable
public enum class WaitCause {
    /** The limits of its organisation or the room in the fleet. */
    @SerialName("admission")
    ADMISSION,

    /** An upstream with a free slot. */
    @SerialName("upstream")
    UPSTREAM,

    /** The first token of its engine. */
    @SerialName("firstToken")
    FIRST_TOKEN,

    /** Another engine after a loss. */
    @SerialName("resume")
    RESUME,

    /** A replica holder that confirms its tokens. */
    @SerialName("replica")
    REPLICA,

    /** Its caller, which takes no part of the answer. */
    @SerialName("caller")
    CALLER,
}

/** One upstream as the node sees it; [state] is `up`, `leaving`, `ejected` or `gone`. */
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
