package org.bilberrycart.news

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray
import org.bilberrycart.model.Fingerprint
import org.bilberrycart.model.UpstreamId
import org.bilberrycart.model.VmId

/** A piece of information that every node should learn quickly. */
@Serializable
public sealed class GossipItem {
    /** [upstream] accepts no new work until it returns with a higher [incarnation]. */
    @Serializable
    @SerialName("l")
    @CborArray
    public data class UpstreamLeaving(val upstream: UpstreamId, val incarnation: Long) :
        GossipItem()

    /** Requests of [fingerprint] crashed [engines] engines, as counted by the node [vm]. */
    @Serializable
    @SerialName("c")
    @CborArray
    public data class Crashes(val fingerprint: Fingerprint, val vm: VmId, val engines: Int) :
        GossipItem()

    /** Some node applies the configuration [version]. */
    @Serializable
    @SerialName("v")
    @CborArray
    public data class ConfigurationVersion(val version: Long) : GossipItem()

    /** What the item describes; of two items with the same subject only the newer one is kept. */
    public val subject: Subject
        get() = when (this) {
            is UpstreamLeaving -> Subject.Upstream(upstream)
            is Crashes -> Subject.Request(fingerprint, vm)
            is ConfigurationVersion -> Subject.Configuration
        }

    /** Returns whether this item is newer than [other], which has the same subject. */
    public fun isNewerThan(other: GossipItem): Boolean = revision > other.revision

    private val revision: Long
        get() = when (this) {
            is UpstreamLeaving -> incarnation
            is Crashes -> engines.toLong()
            is ConfigurationVersion -> version
        }

    /** The entity that an item describes. */
    public sealed class Subject {
        /** An upstream. */
        public data class Upstream(val upstream: UpstreamId) : Subject()

        /** The crashes that the requests of [fingerprint] caused, as counted by the node [vm]. */
        public data class Request(val fingerprint: Fingerprint, val vm: VmId) : Subject()

        /** The configuration of the fleet. */
        public data object Configuration : Subject()
    }
}
