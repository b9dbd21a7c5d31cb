package org.bilberrycart.configuration

import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.bilberrycart.model.VmId
import org.bilberrycart.store.BlockingTable
import org.bilberrycart.store.StoreResult
import org.bilberrycart.store.TableClient

/**
 * Applies and reads configurations with blocking calls, for the commands of an operator.
 *
 * The threads of a node must not use it, because each call waits for the store.
 *
 * @property delay the time to wait after a store call that had no effect, before the next one.
 */
public class ConfigurationPublisher(
    table: TableClient,
    private val delay: Duration = 300.milliseconds,
) {
    private val filter = ApplyFilter()
    private val rows = BlockingTable(table)

    /** Applies [document] if [base] is the newest version. */
    public fun apply(document: ConfigurationDocument, base: Long): ApplyOutcome =
        run(ApplyState(base, document), ApplyEvent.Start)

    /** Returns the newest version, 0 if there is none, or null if the store does not answer. */
    public fun head(): Long? = (rows.read(ConfigurationStore.headKey) as? StoreResult.Found)
        ?.let { ConfigurationStore.decodeHead(it.row) }

    /** Returns the document of [version], or null if there is none or the store does not answer. */
    public fun document(version: Long): ConfigurationDocument? =
        (rows.read(ConfigurationStore.documentKey(version)) as? StoreResult.Found)
            ?.row?.let(ConfigurationStore::decodeDocument)

    /** Returns the version that each node last reported, or null if the store does not answer. */
    public fun reportedVersions(): Map<VmId, Long>? = ConfigurationStore.reportPrefix.let { key ->
        (rows.scan(key.table, key.name) as? StoreResult.Listed)
            ?.let { ConfigurationStore.decodeReports(it.rows) }
    }

    private tailrec fun run(state: ApplyState, event: ApplyEvent): ApplyOutcome {
        val step = filter.step(state, event, Duration.ZERO)
        val action = step.actions.single()
        if (action is ApplyAction.Finish) return action.outcome
        val result = execute(action)
        if (result is StoreResult.Unavailable) TimeUnit.NANOSECONDS.sleep(delay.inWholeNanoseconds)
        return run(step.state, ApplyEvent.StoreAnswered(result))
    }

    private fun execute(action: ApplyAction): StoreResult = when (action) {
        ApplyAction.ReadHead -> rows.read(ConfigurationStore.headKey)
        is ApplyAction.ReadBack -> rows.read(ConfigurationStore.documentKey(action.version))
        is ApplyAction.Publish ->
            rows.write(ConfigurationStore.publication(action.document, action.head))
        is ApplyAction.Finish -> error("not a store call: $action")
    }
}
