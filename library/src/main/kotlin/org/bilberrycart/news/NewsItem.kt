package org.bilberrycart.news

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray
import org.bilberrycart.model.Fingerprint
import org.bilberrycart.model.UpstreamId
import org.bilberrycart.model.VmId

/** Something that each node has to know soon. */
@Serializable
public sealed class NewsItem {
    /** [upstream] takes no new work until it is back with a higher [incarnation]. */
    @Serializable
    @SerialName("l")
    @CborArray
    public data class UpstreamLeaving(val upstream: UpstreamId, val incarnation: Long) :
        NewsItem()

    /** The request of [fingerprint] lost [engines] engines on the node [vm]. */
    @Serializable
    @SerialName("c")
    @CborArray
    public data class Crashes(val fingerprint: Fingerprint, val vm: VmId, val engines: Int) :
        NewsItem()

    /** Some node has the configuration [version] in force. */
    @Serializable
    @SerialName("v")
    @CborArray
    public data class ConfigurationVersion(val version: Long) : NewsItem()

    /** What the item is about; of two items of one subject the newer one is kept. */
    public val subject: Subject
        get() = when (this) {
            is UpstreamLeaving -> Subject.Upstream(upstream)
            is Crashes -> Subject.Request(fingerprint, vm)
            is ConfigurationVersion -> Subject.Configuration
        }

    /** Returns whether this item says more than [other], which is of the same subject. */
    public fun isNewerThan(other: NewsItem): Boolean = age > other.age

    private val age: Long
        get() = when (this) {
            is UpstreamLeaving -> incarnation
            is Crashes -> engines.toLong()
            is ConfigurationVersion -> version
        }

    /** The subject of a news item. */
    public sealed class Subject {
        /** An upstream. */
        public data class Upstream(val upstream: UpstreamId) : Subject()

        /** A request, as one node knows it. */
        public data class Request(val fingerprint: Fingerprint, val vm: VmId) : Subject()

        /** The configuration. */
        public data object Configuration : Subject()
    }
}
