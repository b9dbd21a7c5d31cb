package org.bilberrycart.daemon

import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.joran.JoranConfigurator
import org.bilberrycart.settings.LogFormat
import org.slf4j.LoggerFactory

/** Configures the format of log lines, which always go to standard error. */
object LogSetup {
    /** Switches all loggers to [format]. */
    fun use(format: LogFormat) {
        val resource = LogSetup::class.java.getResource(resourceOf(format))
        val context = LoggerFactory.getILoggerFactory() as LoggerContext
        context.reset()
        JoranConfigurator().apply { this.context = context }.doConfigure(checkNotNull(resource))
    }

    private fun resourceOf(format: LogFormat): String = when (format) {
        LogFormat.KEY_VALUE -> "/logback.xml"
        LogFormat.JSON -> "/logback-json.xml"
    }
}
