package org.bilberrycart.gateway.placement

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.bilberrycart.gateway.model.AttemptKey
import org.bilberrycart.gateway.model.CallFingerprint
import org.bilberrycart.gateway.model.CallKey
import org.bilberrycart.gateway.model.ConfigurationStatus
import org.bilberrycart.gateway.model.PartReport
import org.bilberrycart.gateway.model.RetryUse
import org.bilberrycart.gateway.model.RoutedCall
import org.bilberrycart.gateway.model.ServiceName
import org.bilberrycart.gateway.model.StreamOrigin
import org.bilberrycart.gateway.model.UpstreamAnswer
import org.bilberrycart.gateway.model.UpstreamEntry
import org.bilberrycart.gateway.model.UpstreamId

/** An event that the placement filter handles. */
public sealed class PlacementEvent {
    /** A call was admitted. */
    public data class Submit(val call: RoutedCall) : PlacementEvent()

    /** The caller of a call has disconnected. */
    public data class CallerGone(val key: CallKey) : PlacementEvent()

    /** An upstream sent a complete answer that is not a stream. */
    public data class Answered(val attempt: AttemptKey, val answer: UpstreamAnswer) :
        PlacementEvent()

    /** The attempt failed before any part of the call reached the upstream. */
    public data class Unsent(val attempt: AttemptKey, val cause: String) : PlacementEvent()

    /** The attempt failed after the call may have reached the upstream. */
    public data class AttemptFailed(val attempt: AttemptKey, val cause: String) : PlacementEvent()

    /**
     * The response head of a stream from [attempt] went to the caller; [rateLimit] is the limit
     * that it names, in requests a second of all nodes.
     */
    public data class StreamOpened(val attempt: AttemptKey, val rateLimit: Double? = null) :
        PlacementEvent()

    /** An event of a stream went to the caller. */
    public data class StreamProgressed(val attempt: AttemptKey) : PlacementEvent()

    /**
     * The relay has not sent [attempt], since the stream had meanwhile begun at an upstream of
     * another software version, as [origin] says.
     */
    public data class BegunElsewhere(val attempt: AttemptKey, val origin: StreamOrigin.BegunAt) :
        PlacementEvent()

    /** The stream that [call] resumes began at [origin]; null if nobody knows where. */
    public data class OriginFound(val call: CallKey, val origin: StreamOrigin?) : PlacementEvent()

    /**
     * Streams of these services shall begin at these software versions only; those too that were
     * sent after [since] and have not begun.
     */
    public data class VersionsLimited(
        val versions: PersistentMap<ServiceName, String>,
        val since: Duration,
    ) : PlacementEvent()

    /** All events of a stream went to the caller. */
    public data class StreamCompleted(val attempt: AttemptKey) : PlacementEvent()

    /** The registry now lists exactly [entries]. */
    public data class UpstreamsListed(val entries: PersistentList<UpstreamEntry>) : PlacementEvent()

    /** A probe of [upstream] was answered or failed. */
    public data class Probed(val upstream: UpstreamId, val isAlive: Boolean, val cause: String) :
        PlacementEvent()

    /**
     * A summary of the gossip that this node received from others.
     *
     * @property loads the load that other nodes put on each upstream.
     * @property recentlyLost how long ago other nodes lost an upstream.
     * @property crashes crashes of upstreams before they answered a call, by the call's content.
     * @property share this node and the other nodes that it has heard from.
     * @property retries the dispatches of all other nodes in the retry window, by service.
     * @property oldestSeenAt when the node that has been silent for longest was last heard.
     * @property configuration whether this node's configuration is in force; null if unknown.
     * @property partReports what other nodes report on prompt parts that may crash upstreams.
     * @property forwardingPeers the nodes that take calls in place of this one.
     */
    public data class PeerReport(
        val loads: PersistentMap<UpstreamId, Int>,
        val recentlyLost: PersistentMap<UpstreamId, Duration>,
        val crashes: PersistentMap<CallFingerprint, Set<UpstreamCrash>> = persistentMapOf(),
        val share: NodeShare = NodeShare(),
        val retries: PersistentMap<ServiceName, RetryUse> = persistentMapOf(),
        val partReports: PersistentList<PartReport> = persistentListOf(),
        val oldestSeenAt: Duration? = null,
        val configuration: ConfigurationStatus? = null,
        val forwardingPeers: PersistentList<ForwardingPeer> = persistentListOf(),
    ) : PlacementEvent()

    /**
     * Processes that may have ended have recorded these crashes in the store.
     *
     * @property crashes crashes of upstreams before they answered a call, by the call's content.
     * @property partReports what was known of prompt parts that may crash upstreams.
     */
    public data class CrashesRecalled(
        val crashes: PersistentMap<CallFingerprint, Set<UpstreamCrash>>,
        val partReports: PersistentList<PartReport>,
    ) : PlacementEvent()

    /** Upstream [id] runs at the address of [replaced]; [service] is null if it is unknown. */
    public data class Identified(
        val replaced: UpstreamId,
        val id: UpstreamId,
        val service: ServiceName?,
        val startedAtMillis: Long?,
    ) : PlacementEvent()

    /**
     * [upstream] stated in the head of an answer that it [isLeaving], or that it wants no requests
     * of this node for the time [pause].
     */
    public data class UpstreamStated(
        val upstream: UpstreamId,
        val isLeaving: Boolean,
        val pause: Duration? = null,
    ) : PlacementEvent()

    /** The node stops, so that no call can go on. */
    public data object NodeStops : PlacementEvent()

    /** The periodic check of timeouts is due. */
    public data object Tick : PlacementEvent()
}
