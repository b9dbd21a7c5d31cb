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

/** The input and output of a [Pipeline]: real connections in a node, small fakes in tests. */
public interface PipelinePorts : AutoCloseable {
    /** Returns what takes calls to the platform's table; each result is handed to [results]. */
    public fun store(results: (StoreContext, StoreResult) -> Unit): Sink<PlatformEvent.Call>

    /** Returns what carries out dispatch actions; what upstreams bring goes to [output]. */
    public fun upstreams(output: UpstreamOutput): Sink<DispatchAction>

    /** Who hears of the configurations that other nodes have in force. */
    public val versions: VersionListener

    /** Returns the links to other nodes; what they send goes into [inbound]. */
    public fun peers(inbound: Ring<PeerEvent>): PeerPort

    /** Returns what asks an upstream for its load; the answers go into [ring]. */
    public fun loads(ring: Ring<HealthEvent>): Sink<Upstream>
}
