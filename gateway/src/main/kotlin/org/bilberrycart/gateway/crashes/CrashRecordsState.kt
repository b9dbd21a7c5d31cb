package org.bilberrycart.gateway.crashes

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import org.bilberrycart.gateway.model.KnownCrashes
import org.bilberrycart.gateway.records.Record

/**
 * What a node has read and written of the records of crashes.
 *
 * @property process names this process in the key of its record, as NODE/START.
 * @property hasRead whether all records were read since the node started.
 * @property page the records of a read in progress, of which pages are missing.
 * @property found what other processes had recorded at the last read.
 * @property lastCall the number of the last call to the store.
 * @property reading the number of the read in progress; null if none is.
 * @property readAt when the last read began; null if none did.
 * @property writing the number of the write in progress and what it writes; null if none is.
 * @property writtenAt when the last write began; null if none did.
 * @property written what the record of this process holds.
 * @property expiredKeys keys of records that nobody needs any more.
 * @property missingSince since when a known node has not been heard; null if all are.
 * @property storeClockOffset the store's clock less this node's, in milliseconds; null if unknown.
 */
public data class CrashRecordsState(
    val process: String,
    val hasRead: Boolean = false,
    val page: PersistentList<Record> = persistentListOf(),
    val found: PersistentList<KnownCrashes> = persistentListOf(),
    val lastCall: Long = 0,
    val reading: Long? = null,
    val readAt: Duration? = null,
    val writing: PendingWrite? = null,
    val writtenAt: Duration? = null,
    val written: KnownCrashes = KnownCrashes(),
    val expiredKeys: PersistentSet<String> = persistentSetOf(),
    val missingSince: Duration? = null,
    val storeClockOffset: Long? = null,
) {
    /** A write of [known] in the call with number [call]. */
    public data class PendingWrite(val call: Long, val known: KnownCrashes)
}
