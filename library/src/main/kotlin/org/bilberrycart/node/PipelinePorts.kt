package org.bilberrycart.node

import org.bilberrycart.dispatch.DispatchAction
import org.bilberrycart.dispatch.UpstreamOutput
import org.bilberrycart.health.HealthEvent
import org.bilberrycart.model.Upstream
import org.bilberrycart.peer.PeerEvent
import org.bilberrycart.pipeline.Ring
import org.bilberrycart.pipeline.Sink
import org.bilberrycart.store.PlatformEvent
import org.bilberrycart.store.StoreContext
import org.bilberrycart.store.StoreResult

/** The external connections of a [Pipeline]; tests replace them with fakes. */
public interface PipelinePorts : AutoCloseable {
    /** Returns the sink for calls to the platform's table; each result is passed to [results]. */
    public fun store(results: (StoreContext, StoreResult) -> Unit): Sink<PlatformEvent.Call>

    /** Returns the sink that carries out dispatch actions and reports to [output]. */
    public fun upstreams(output: UpstreamOutput): Sink<DispatchAction>

    /** The listener for the configuration versions that other nodes have in force. */
    public val versions: VersionListener

    /** Returns the links to other nodes; received messages are put into [inbound]. */
    public fun peers(inbound: Ring<PeerEvent>): PeerPort

    /** Returns the sink that asks an upstream for its load; the answers are put into [ring]. */
    public fun loads(ring: Ring<HealthEvent>): Sink<Upstream>
}
