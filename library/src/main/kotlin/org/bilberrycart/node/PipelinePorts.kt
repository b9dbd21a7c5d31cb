package org.bilberrycart.node

import org.bilberrycart.dispatch.DispatchAction
import org.bilberrycart.dispatch.UpstreamOutput
import org.bilberrycart.health.HealthEvent
import org.bilberrycart.model.Upstream
import org.bilberrycart.peer.PeerEvent
import org.bilberrycart.pipeline.Ring
import org.bilberrycart.pipeline.Sink
import org.bilberrycart.platform.TableClient

/** The input and output of a [Pipeline]: real connections in a node, small fakes in tests. */
public interface PipelinePorts : AutoCloseable {
    /** The platform's table. */
    public val table: TableClient

    /** Returns what carries out dispatch actions; what upstreams bring goes to [output]. */
    public fun upstreams(output: UpstreamOutput): Sink<DispatchAction>

    /** Returns the links to other nodes; what they send goes into [inbound]. */
    public fun peers(inbound: Ring<PeerEvent>): PeerPort

    /** Returns what asks an upstream for its load; the answers go into [ring]. */
    public fun loads(ring: Ring<HealthEvent>): Sink<Upstream>
}
