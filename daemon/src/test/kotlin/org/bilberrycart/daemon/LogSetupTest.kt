package org.bilberrycart.daemon

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import org.bilberrycart.settings.LogFormat
import org.slf4j.LoggerFactory

private data class FormatCase(val format: LogFormat, val expected: String) : WithDataTestName {
    override fun dataTestName(): String = "$format"
}

class LogSetupTest :
    FunSpec({
        afterSpec { LogSetup.use(LogFormat.KEY_VALUE) }

        context("a log line goes to standard error in the configured format") {
            withData(
                FormatCase(LogFormat.KEY_VALUE, """thread="""),
                FormatCase(LogFormat.JSON, """"message":"event=node_ready port=8080""""),
            ) { case ->
                val lines = captureStandardError {
                    LogSetup.use(case.format)
                    LoggerFactory.getLogger("test").info("event=node_ready port={}", 8080)
                    LoggerFactory.getLogger("org.eclipse.jetty.server").info("event=hidden")
                }
                lines shouldContain case.expected
                lines shouldContain "event=node_ready port=8080"
                lines shouldNotContain "event=hidden"
            }
        }
    })

private fun captureStandardError(block: () -> Unit): String {
    val standardError = System.err
    val bytes = ByteArrayOutputStream()
    try {
        System.setErr(PrintStream(bytes, true))
        block()
    } finally {
        System.setErr(standardError)
    }
    return bytes.toString()
}
