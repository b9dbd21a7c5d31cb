@file:OptIn(ExperimentalSerializationApi::class)

package org.bilberrycart.gateway.records

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel
import org.bilberrycart.gateway.model.KnownCrashes

/**
 * What a record holds: the streams that a node began in some seconds, the software versions of a
 * service, or the crashes that a node knows of.
 *
 * @property storeMillis when it was written, by the store's clock.
 * @property streams the software version at which each stream began, by the id of its request.
 * @property versionBefore the only software version of the service before others came beside it;
 *   null if unknown, or in a record of streams.
 * @property mixedMillis for how long several versions of the service had served by then.
 * @property crashes calls and prompt parts that crash upstreams; null in other records.
 */
@Serializable
public data class RecordContent(
    @CborLabel(label = 1) val storeMillis: Long,
    @CborLabel(label = 2) val streams: Map<String, String> = emptyMap(),
    @CborLabel(label = 3) val versionBefore: String? = null,
    @CborLabel(label = 4) val mixedMillis: Long = 0,
    @CborLabel(label = 5) val crashes: KnownCrashes? = null,
)
