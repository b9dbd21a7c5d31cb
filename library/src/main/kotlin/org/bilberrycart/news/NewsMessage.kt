package org.bilberrycart.news

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/** What the news duties of two nodes tell each other. */
@Serializable
public sealed class NewsMessage {
    /** Items that spread, each with the time that it is still to be kept. */
    @Serializable
    @SerialName("g")
    @CborArray
    public data class Gossip(val items: List<Spreading>) : NewsMessage()

    /** To the node that adds these organisations up: their use on the sender. */
    @Serializable
    @SerialName("u")
    @CborArray
    public data class UseReport(val uses: List<OrganisationUse>) : NewsMessage()

    /** The answer to [UseReport]: the use on all nodes. */
    @Serializable
    @SerialName("t")
    @CborArray
    public data class UseTotals(val uses: List<OrganisationUse>) : NewsMessage()

    /** An [item] and how long it is still to be kept. */
    @Serializable
    @CborArray
    public data class Spreading(val item: NewsItem, val keepMillis: Long)
}
