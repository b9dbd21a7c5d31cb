package org.bilberrycart.store

import kotlin.time.Duration

/** What the platform duty reacts to. */
public sealed class PlatformEvent {
    /** A user of the store wants a call. */
    public sealed class Call : PlatformEvent() {
        public abstract val context: StoreContext

        /** When the user no longer waits, by the node's clock. */
        public abstract val deadline: Duration
    }

    /** Apply [group]; it shares a transaction with other groups. */
    public data class Write(
        override val context: StoreContext,
        val group: WriteGroup,
        override val deadline: Duration,
    ) : Call()

    /** Read the row of [key]. */
    public data class Read(
        override val context: StoreContext,
        val key: RowKey,
        override val deadline: Duration,
    ) : Call()

    /** Read the rows of [table] whose names start with [prefix]. */
    public data class Scan(
        override val context: StoreContext,
        val table: String,
        val prefix: String,
        override val deadline: Duration,
    ) : Call()

    /** The exchange [id] ended. */
    public data class Ended(val id: Long, val reply: StoreReply) : PlatformEvent()

    /** Time has passed. */
    public data object Tick : PlatformEvent()
}
