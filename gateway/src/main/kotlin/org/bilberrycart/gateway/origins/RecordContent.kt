@file:OptIn(ExperimentalSerializationApi::class)

package org.bilberrycart.gateway.origins

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * What a record holds: the streams that a node began in some seconds, or the software versions of a
 * service.
 *
 * @property storeMillis when it was written, by the store's clock.
 * @property streams the software version at which each stream began, by the id of its request.
 * @property versionBefore the only software version of the service before others came beside it;
 *   null if unknown, or in a record of streams.
 * @property mixedMillis for how long several versions of the service had served by then.
 */
@Serializable
public data class RecordContent(
    @CborLabel(label = 1) val storeMillis: Long,
    @CborLabel(label = 2) val streams: Map<String, String> = emptyMap(),
    @CborLabel(label = 3) val versionBefore: String? = null,
    @CborLabel(label = 4) val mixedMillis: Long = 0,
)
