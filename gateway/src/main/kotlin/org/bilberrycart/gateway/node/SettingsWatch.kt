package org.bilberrycart.gateway.node

import java.nio.file.Path
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentListOf
import org.bilberrycart.pipeline.Clock
import org.bilberrycart.pipeline.Duty
import org.bilberrycart.pipeline.Filter
import org.bilberrycart.pipeline.Ring
import org.bilberrycart.pipeline.Step
import org.bilberrycart.timer.Ticker
import org.slf4j.LoggerFactory
import sun.misc.Signal

/**
 * Reads the settings file again on SIGHUP and at a fixed interval, since it may change without a
 * signal.
 *
 * An unusable file is logged and leaves the settings unchanged. A new address of the store takes
 * effect at once; every other change takes effect at the next start.
 *
 * @property read reads the settings file.
 * @property onEnded called with the name of a thread of the watch that an error has ended, so that
 *   no later change is seen.
 */
public class SettingsWatch(
    private val path: Path,
    first: GatewaySettings,
    interval: Duration = INTERVAL,
    private val read: (Path) -> GatewaySettingsResult = GatewaySettingsFile::read,
    private val onEnded: (thread: String) -> Unit = {},
) : AutoCloseable {
    private val settings = AtomicReference(first)
    private val ring = Ring<Reason>("settings", CAPACITY)
    private val duty = Duty(
        "settings",
        ring,
        first,
        Reload(),
        Clock(),
        ::onChange,
        onEnded = { onEnded("settings") },
    )
    private val timer = Ticker(
        interval,
        listOf(Ticker.Target(ring) { Reason.TIMER }),
        onEnded = { onEnded("settings-timer") },
    )

    /** The settings as last read from a usable file. */
    public val current: GatewaySettings
        get() = settings.get()

    /** Starts reading the file again at each interval and on SIGHUP. */
    public fun start() {
        duty.start()
        timer.start()
        Signal.handle(Signal("HUP")) { ring.offer(Reason.SIGNAL) }
    }

    override fun close() {
        timer.close()
        duty.close()
    }

    /** What caused the file to be read again; the log prints the constants' names. */
    private enum class Reason { SIGNAL, TIMER }

    /** The outcome of reading the file again. */
    private sealed class Change {
        data class Applied(val settings: GatewaySettings, val reason: Reason) : Change()

        data class Refused(val why: String) : Change()
    }

    private inner class Reload : Filter<GatewaySettings, Reason, Change> {
        override fun step(
            state: GatewaySettings,
            event: Reason,
            now: Duration,
        ): Step<GatewaySettings, Change> = when (val result = read(path)) {
            is GatewaySettingsResult.Unusable -> step(state, Change.Refused(result.reason))
            is GatewaySettingsResult.Read -> when {
                event == Reason.TIMER && result.settings == state -> Step(state)
                else -> step(result.settings, Change.Applied(result.settings, event))
            }
        }

        private fun step(state: GatewaySettings, change: Change): Step<GatewaySettings, Change> =
            Step(state, persistentListOf(change))
    }

    private fun onChange(change: Change) = when (change) {
        is Change.Applied -> {
            val isNew = settings.getAndSet(change.settings) != change.settings
            log.info("event=settings_read reason={} changed={}", change.reason, isNew)
        }
        is Change.Refused -> log.warn("event=settings_refused why=\"{}\"", change.why)
    }

    private companion object {
        const val CAPACITY = 16
        val INTERVAL = 5.seconds
        val log = LoggerFactory.getLogger(SettingsWatch::class.java)
    }
}
