package org.bilberrycart.peer

import java.util.concurrent.atomic.LongAdder

/** Counters of the links of one node; all operations are thread-safe. */
public class PeerCounters {
    /** Links that were established. */
    public val opened: LongAdder = LongAdder()

    /** Links that were closed for any reason. */
    public val closed: LongAdder = LongAdder()

    /** Connections refused because the other end did not authenticate. */
    public val refused: LongAdder = LongAdder()

    /** Links closed because of a malformed or oversized frame. */
    public val malformed: LongAdder = LongAdder()

    /** Links closed because nothing arrived within [PeerSettings.silenceTimeout]. */
    public val timedOut: LongAdder = LongAdder()

    /** Links closed because a bounded ring was full. */
    public val overflowed: LongAdder = LongAdder()

    /** Messages not sent because there was no usable link. */
    public val unsent: LongAdder = LongAdder()

    /** Connections that could not be opened. */
    public val dialFailures: LongAdder = LongAdder()

    /** Frames sent, including heartbeats. */
    public val framesSent: LongAdder = LongAdder()

    /** Bytes of the frames sent, including their length prefixes. */
    public val bytesSent: LongAdder = LongAdder()

    /** Bytes of the frames received, including their length prefixes. */
    public val bytesReceived: LongAdder = LongAdder()
}
