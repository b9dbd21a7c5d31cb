package org.bilberrycart.news

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/** A message between the [GossipFilter]s of two nodes. */
@Serializable
public sealed class GossipPayload {
    /** Items to disseminate. */
    @Serializable
    @SerialName("g")
    @CborArray
    public data class Items(val items: List<ExpiringItem>) : GossipPayload()

    /** The usage on the sender, for the node that sums the usage of these organisations. */
    @Serializable
    @SerialName("u")
    @CborArray
    public data class UsageReport(@SerialName("uses") val usages: List<OrganisationUsage>) :
        GossipPayload()

    /** The answer to [UsageReport]: the usage of the same organisations on all nodes. */
    @Serializable
    @SerialName("t")
    @CborArray
    public data class UsageTotals(@SerialName("uses") val usages: List<OrganisationUsage>) :
        GossipPayload()

    /** An [item] that expires [remainingMillis] after the message arrives. */
    @Serializable
    @SerialName("org.bilberrycart.news.NewsMessage.Spreading")
    @CborArray
    public data class ExpiringItem(
        val item: GossipItem,
        @SerialName("keepMillis") val remainingMillis: Long,
    )
}
