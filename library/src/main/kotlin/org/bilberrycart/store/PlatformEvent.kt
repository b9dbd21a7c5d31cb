package org.bilberrycart.store

import kotlin.time.Duration

/** An event that the platform duty handles. */
public sealed class PlatformEvent {
    /** A call that a user of the store makes. */
    public sealed class Call : PlatformEvent() {
        /** What comes back with the result. */
        public abstract val context: StoreContext

        /** When the user stops waiting for the result, by the node's clock. */
        public abstract val deadline: Duration
    }

    /** Apply [group], which may share a transaction with other groups. */
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

    /** The request [id] was answered or failed, as [reply] says. */
    public data class ExchangeEnded(val id: Long, val reply: StoreReply) : PlatformEvent()

    /** A periodic signal to finish calls past their deadline and to send calls that are due. */
    public data object Tick : PlatformEvent()
}
