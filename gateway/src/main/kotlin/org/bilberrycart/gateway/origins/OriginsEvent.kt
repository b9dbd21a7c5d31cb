package org.bilberrycart.gateway.origins

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import org.bilberrycart.gateway.model.CallKey
import org.bilberrycart.gateway.model.ServiceName
import org.bilberrycart.gateway.records.RecordReply

/** The inputs of the origins filter. */
public sealed class OriginsEvent {
    /** The node starts. */
    public data object Start : OriginsEvent()

    /** A stream from the start, the request [requestId], is sent to [softwareVersion]. */
    public data class Sent(
        val requestId: String,
        val service: ServiceName,
        val softwareVersion: String?,
    ) : OriginsEvent()

    /** The caller of [call] resumes the stream that began with the request [requestId]. */
    public data class Sought(val call: CallKey, val requestId: String?, val service: ServiceName) :
        OriginsEvent()

    /** The registry lists upstreams of these software versions of each service. */
    public data class VersionsListed(
        val versions: PersistentMap<ServiceName, PersistentSet<String>>,
    ) : OriginsEvent()

    /** The call with number [call] to the store, a read, ended with [reply]. */
    public data class ReadReplied(val call: Long, val reply: RecordReply) : OriginsEvent()

    /** The call with number [call] to the store, a write, ended with [reply]. */
    public data class WriteReplied(val call: Long, val reply: RecordReply) : OriginsEvent()

    /**
     * The periodic timer fired while the node knows [peers] others.
     *
     * @property isInStep whether the node lacks no change that another node knows, as far as it
     *   can tell: all nodes are heard.
     */
    public data class Tick(val peers: Int, val isInStep: Boolean = true) : OriginsEvent()
}
