package org.bilberrycart.gateway.metrics

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.spi.ILoggingEvent
import java.util.concurrent.atomic.AtomicLong

/** An appender that never waits: lines that find its queue full are dropped and counted. */
public class CountingAsyncAppender : AsyncAppender() {
    override fun append(event: ILoggingEvent) {
        if (remainingCapacity > 0) super.append(event) else droppedLines.incrementAndGet()
    }

    /** Gives access to the count. */
    public companion object {
        private val droppedLines = AtomicLong()

        /** Lines dropped since the start of the process. */
        public val dropped: Long
            get() = droppedLines.get()
    }
}
