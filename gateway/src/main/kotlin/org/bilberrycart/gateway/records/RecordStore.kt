package org.bilberrycart.gateway.records

import kotlinx.collections.immutable.PersistentList

/** A row of a [RecordTable]; no [content] if unreadable. */
public data class Record(val key: String, val content: RecordContent?)

/** The outcome of a call to a [RecordStore]. */
public sealed class RecordReply {
    /**
     * A page of the records at [storeMillis], a steady clock of the store.
     *
     * @property next the key at which the next page begins; null on the last page.
     */
    public data class Page(
        val records: PersistentList<Record>,
        val storeMillis: Long,
        val next: String?,
    ) : RecordReply()

    /** The records were written at [storeMillis], a steady clock of the store. */
    public data class Written(val storeMillis: Long) : RecordReply()

    /** The call failed because of [cause]; what it was to write may be written all the same. */
    public data class Failed(val cause: String) : RecordReply()
}

/** The calls about records to the store. Each is answered once, on any thread. */
public interface RecordStore {
    /** Reads a page of [table] from key [from] or, if that is null, from the start. */
    public fun readRecords(table: RecordTable, from: String?, reply: (RecordReply) -> Unit)

    /** Writes [puts] to [table] and removes the keys [removals] from it, all or none. */
    public fun writeRecords(
        table: RecordTable,
        puts: List<Record>,
        removals: List<String>,
        reply: (RecordReply) -> Unit,
    )
}
