package org.bilberrycart.peer

import java.util.concurrent.atomic.LongAdder

/** Counters of the links of one node; any thread may add and read. */
public class PeerCounters {
    /** Links that came up. */
    public val opened: LongAdder = LongAdder()

    /** Links that ended, in whatever way. */
    public val closed: LongAdder = LongAdder()

    /** Connections refused because the other end did not prove that it knows the secret. */
    public val refused: LongAdder = LongAdder()

    /** Links closed because of a malformed or too large frame. */
    public val malformed: LongAdder = LongAdder()

    /** Links closed because the other end fell silent. */
    public val silent: LongAdder = LongAdder()

    /** Links closed because a bounded ring was full. */
    public val overflowed: LongAdder = LongAdder()

    /** Messages not sent for want of a link. */
    public val unsent: LongAdder = LongAdder()

    /** Connections that could not be opened. */
    public val dialFailures: LongAdder = LongAdder()

    /** Frames sent, empty ones included. */
    public val framesSent: LongAdder = LongAdder()

    /** Bytes sent in frames, their lengths included. */
    public val bytesSent: LongAdder = LongAdder()

    /** Bytes received in frames, their lengths included. */
    public val bytesReceived: LongAdder = LongAdder()
}
