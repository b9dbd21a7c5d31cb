package org.bilberrycart.gateway.placement

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.bilberrycart.gateway.model.AttemptKey
import org.bilberrycart.gateway.model.CallFingerprint
import org.bilberrycart.gateway.model.CallKey
import org.bilberrycart.gateway.model.RoutedCall
import org.bilberrycart.gateway.model.ServiceName
import org.bilberrycart.gateway.model.UpstreamAnswer
import org.bilberrycart.gateway.model.UpstreamEntry
import org.bilberrycart.gateway.model.UpstreamId

/** What reaches placement. */
public sealed class PlacementEvent {
    /** A call that the configuration allows. */
    public data class Submit(val call: RoutedCall) : PlacementEvent()

    /** The caller of a call has gone. */
    public data class CallerGone(val key: CallKey) : PlacementEvent()

    /** An upstream gave a whole answer that is no stream. */
    public data class Answered(val attempt: AttemptKey, val answer: UpstreamAnswer) :
        PlacementEvent()

    /** Nothing of the call reached the upstream. */
    public data class Unsent(val attempt: AttemptKey, val cause: String) : PlacementEvent()

    /** The connection to the upstream broke after the call may have reached it. */
    public data class Broken(val attempt: AttemptKey, val cause: String) : PlacementEvent()

    /** The caller got the head of a stream from [attempt]. */
    public data class StreamOpened(val attempt: AttemptKey) : PlacementEvent()

    /** An event of a stream went to the caller. */
    public data class StreamMoved(val attempt: AttemptKey) : PlacementEvent()

    /** A stream is complete. */
    public data class StreamEnded(val attempt: AttemptKey) : PlacementEvent()

    /** The registry now lists exactly [entries]. */
    public data class Registered(val entries: PersistentList<UpstreamEntry>) : PlacementEvent()

    /** A probe of [upstream] was answered or failed. */
    public data class Probed(val upstream: UpstreamId, val isAlive: Boolean, val cause: String) :
        PlacementEvent()

    /**
     * What other nodes say.
     *
     * @property loads their work at each upstream.
     * @property lost how long ago they lost each of these.
     * @property strikes upstreams that broke off when they began a call, by its content.
     * @property share this node and those that it heard.
     */
    public data class LoadElsewhere(
        val loads: PersistentMap<UpstreamId, Int>,
        val lost: PersistentMap<UpstreamId, Duration>,
        val strikes: PersistentMap<CallFingerprint, Set<UpstreamId>> = persistentMapOf(),
        val share: NodeShare = NodeShare(),
    ) : PlacementEvent()

    /** At the address of [replaced] there is now [id], which serves [service] if that is known. */
    public data class Identified(
        val replaced: UpstreamId,
        val id: UpstreamId,
        val service: ServiceName?,
        val bornMillis: Long?,
    ) : PlacementEvent()

    /** Time has passed. */
    public data object Tick : PlacementEvent()
}
