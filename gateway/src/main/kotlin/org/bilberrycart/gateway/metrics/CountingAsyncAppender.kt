package org.bilberrycart.gateway.metrics

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.spi.ILoggingEvent
import java.util.concurrent.atomic.AtomicLong

/** An appender that never blocks the logging thread: it drops and counts lines if it is full. */
public class CountingAsyncAppender : AsyncAppender() {
    override fun append(event: ILoggingEvent) {
        if (remainingCapacity > 0) super.append(event) else droppedLines.incrementAndGet()
    }

    /** Holds the count of dropped lines, which all appenders of the process share. */
    public companion object {
        private val droppedLines = AtomicLong()

        /** The number of lines dropped since the start of the process. */
        public val dropped: Long
            get() = droppedLines.get()
    }
}
