package org.bilberrycart.gateway.node

import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import org.bilberrycart.gateway.discovery.ConfigurationRow
import org.bilberrycart.gateway.discovery.DiscoveryAction
import org.bilberrycart.gateway.discovery.DiscoveryEvent
import org.bilberrycart.gateway.discovery.RowCache
import org.bilberrycart.gateway.discovery.RowReader
import org.bilberrycart.gateway.discovery.StoreClient
import org.bilberrycart.gateway.discovery.StoreRow
import org.bilberrycart.gateway.discovery.StoreTable
import org.bilberrycart.gateway.discovery.TableReply
import org.bilberrycart.gateway.entry.EntryEvent
import org.bilberrycart.gateway.http.summary
import org.bilberrycart.gateway.lifecycle.LifecycleEvent
import org.bilberrycart.gateway.metrics.GatewayMetrics
import org.bilberrycart.gateway.origins.OriginsEvent
import org.bilberrycart.gateway.placement.PlacementEvent
import org.eclipse.jetty.util.thread.Scheduler

/**
 * Executes discovery's actions: calls the store and publishes the contents of its tables.
 *
 * @property scheduler starts the calls to the store; its thread does nothing else.
 */
internal class DiscoverySink(
    private val rings: GatewayRings,
    private val store: StoreClient,
    private val rows: RowReader,
    private val scheduler: Scheduler,
    private val metrics: GatewayMetrics,
    private val log: StoreLog,
    private val askPeer: (DiscoveryAction.AskPeer) -> Unit,
) : (DiscoveryAction) -> Unit {
    private var upstreams = RowCache()

    override fun invoke(action: DiscoveryAction): Unit = when (action) {
        is DiscoveryAction.Read -> call(action.table, action.call, action.delay) { reply ->
            store.read(action.table, action.from, reply)
        }
        is DiscoveryAction.Follow -> call(action.table, action.call, action.delay) { reply ->
            store.follow(action.table, action.version, action.wait, reply)
        }
        is DiscoveryAction.GiveUp -> {
            metrics.storeCallGivenUp(action.table.name)
            log.storeCallGivenUp(action)
            store.renewConnections()
        }
        is DiscoveryAction.VersionDisproved -> log.versionDisproved(action)
        is DiscoveryAction.EraChanged -> log.storeEraChanged(action)
        is DiscoveryAction.AskPeer -> askPeer(action)
        is DiscoveryAction.Publish -> publish(action)
        is DiscoveryAction.StoreStatusChanged -> {
            metrics.statusChanged("store", if (action.isAvailable) "back" else "lost")
            log.storeStatus(action)
        }
    }

    /**
     * Calls the store about [table] after [delay], in the call with number [number]; a call that
     * can't be made has failed.
     */
    private fun call(
        table: StoreTable,
        number: Long,
        delay: Duration,
        start: ((TableReply) -> Unit) -> Unit,
    ) {
        val onReply = { reply: TableReply ->
            rings.discovery.put(DiscoveryEvent.Replied(table, number, reply))
            Unit
        }
        val task = Runnable {
            try {
                start(onReply)
            } catch (e: RuntimeException) {
                onReply(TableReply.Failed(e.summary()))
            }
        }
        scheduler.schedule(task, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    /** Passes on the configuration that [row] holds, and reports what of it can't be read. */
    private fun configure(row: StoreRow) = when (val content = rows.configuration(row)) {
        is ConfigurationRow.Read -> {
            if (content.leftOut.isNotEmpty()) {
                metrics.configurationPartsUnreadable(content.leftOut.size)
                log.configurationIncomplete(content)
            }
            rings.entry.put(EntryEvent.Configured(content.configuration))
        }
        ConfigurationRow.Unreadable -> {
            metrics.configurationUnreadable()
            log.configurationUnreadable(row)
        }
        ConfigurationRow.Other -> Unit
    }

    private fun versionsListed() = OriginsEvent.VersionsListed(
        upstreams.entries.groupBy { it.service }
            .mapValues { (_, entries) ->
                entries.mapNotNull { it.softwareVersion }.toPersistentSet()
            }.toPersistentMap(),
    )

    private fun publish(action: DiscoveryAction.Publish) {
        when (action.table) {
            StoreTable.CONFIGURATION -> {
                log.tableRead(action, unreadable = emptyList())
                action.rows.forEach(::configure)
            }
            StoreTable.UPSTREAMS -> {
                upstreams = upstreams.updated(action.rows, rows)
                rings.origins.put(versionsListed())
                rings.placement.put(PlacementEvent.UpstreamsListed(upstreams.entries))
                log.tableRead(action, upstreams.unreadable)
                metrics.rowsUnreadable(action.table.name, upstreams.unreadable.size)
                rings.lifecycle.put(LifecycleEvent.UpstreamsListed)
            }
        }
    }
}
