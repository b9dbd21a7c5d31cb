package org.bilberrycart.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.int
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import org.bilberrycart.idempotency.CallSettler
import org.bilberrycart.idempotency.Progress
import org.bilberrycart.idempotency.ReadResult
import org.bilberrycart.idempotency.Settlement
import org.bilberrycart.idempotency.StoredRecord
import org.bilberrycart.idempotency.WriteResult
import org.bilberrycart.pipeline.Clock
import org.bilberrycart.store.HttpTableClient

/**
 * Settles a call whose outcome is unknown, as the operator found it in the service's own records.
 *
 * While the owner of a pending record may still send the call, the command waits. It measures that
 * time by its own clock, and starts it again whenever the record changes.
 */
class CallSettleCommand : CliktCommand(name = "settle") {
    private val call by RecordKeyOptions()
    private val outcome by option("--as", help = "the outcome according to the service's records")
        .choice("done", "not-run").required()
    private val status by option(help = "the status that retries get, with --as done").int()
        .default(DEFAULT_STATUS)
    private val body by option(help = "the body that retries get, with --as done").default("{}")
    private val clock = Clock()

    override fun help(context: Context): String =
        "Settles a call with an unknown outcome: retries get the answer, or may run."

    override fun run() = HttpTableClient(call.platform).use { table ->
        val settler = CallSettler(table)
        settle(settler, read(settler), unchangedSince = clock.now())
    }

    private tailrec fun settle(
        settler: CallSettler,
        stored: StoredRecord?,
        unchangedSince: Duration,
    ): Unit = when (val next = Settlement.of(stored, clock.now() - unchangedSince)) {
        Settlement.NoRecord -> fail("there is no record of this call")
        is Settlement.Settled -> fail("already settled: ${next.progress}")
        Settlement.Open -> write(settler, checkNotNull(stored))
        is Settlement.Wait -> {
            echo("event=waiting reason=owner_may_send seconds=${next.wait.inWholeSeconds}")
            TimeUnit.MILLISECONDS.sleep(next.wait.inWholeMilliseconds + 1)
            val again = read(settler)
            val isSame = again?.version == stored?.version
            settle(settler, again, if (isSame) unchangedSince else clock.now())
        }
    }

    private fun read(settler: CallSettler): StoredRecord? =
        when (val result = settler.read(call.recordKey)) {
            is ReadResult.Found -> result.stored
            ReadResult.Failed -> fail("the table does not answer; nothing was changed")
        }

    private fun write(settler: CallSettler, stored: StoredRecord) {
        val progress = if (outcome == "done") Progress.Done(status, body) else Progress.NotRun
        when (settler.settle(call.recordKey, stored, progress)) {
            is WriteResult.Written -> echo("settled as $outcome")
            is WriteResult.Conflict -> fail("the record has changed; look again with call show")
            WriteResult.Refused -> fail("the table does not answer; nothing was changed")
            WriteResult.Unknown -> fail("the table did not answer; look again with call show")
        }
    }

    private fun fail(message: String): Nothing {
        echo(message, err = true)
        throw ProgramResult(1)
    }

    private companion object {
        const val DEFAULT_STATUS = 200
    }
}
