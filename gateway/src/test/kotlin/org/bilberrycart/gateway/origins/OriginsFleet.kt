package org.bilberrycart.gateway.origins

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentSet
import org.bilberrycart.gateway.Samples
import org.bilberrycart.gateway.model.CallKey
import org.bilberrycart.gateway.model.StreamOrigin
import org.bilberrycart.gateway.records.Record
import org.bilberrycart.gateway.records.RecordReply

/** Nodes that share the records of a store, in virtual time. */
internal class OriginsFleet {
    private val filter = OriginsFilter()
    private val nodes = mutableMapOf<String, OriginsState>()
    private var records = emptyMap<String, Record>()
    private var now = Duration.ZERO
    private var starts = 0
    private val found = mutableMapOf<CallKey, StreamOrigin?>()

    private val limits = mutableMapOf<String, String?>()

    /** Whether each call of the store fails. */
    var isStoreAway = false

    /** How often the store was called. */
    var calls = 0
        private set

    /** Starts [node], which knows nothing of before. */
    fun start(node: String) {
        starts++
        nodes[node] = OriginsState(process = "$node/$starts")
        handle(node, OriginsEvent.Start)
    }

    /** Ends all nodes at once. */
    fun killAll() = nodes.clear()

    /** The nodes that no change and no peer reaches. */
    var cutOff = emptySet<String>()

    /** The nodes that stand still. */
    var frozen = emptySet<String>()

    /** Lists upstreams of [versions] at all nodes that learn of it. */
    fun list(vararg versions: String) = (nodes.keys - cutOff - frozen).forEach { node ->
        val services = persistentMapOf(Samples.desk to versions.toList().toPersistentSet())
        handle(node, OriginsEvent.VersionsListed(services))
    }

    /** Sends the stream [requestId] from [node] to [version]. */
    fun send(node: String, requestId: String, version: String) =
        handle(node, OriginsEvent.Sent(requestId, Samples.desk, version))

    /** Returns the only version at which [node] begins streams; null for any. */
    fun beginsOnlyAt(node: String): String? = limits[node]

    /** Lets [time] pass. */
    fun pass(time: Duration) {
        val end = now + time
        while (now < end) {
            now += TICK
            (nodes.keys - frozen).forEach {
                handle(it, OriginsEvent.Tick(nodes.size - 1, isInStep = it !in cutOff))
            }
        }
    }

    /** Has [node] look for the stream [requestId]; returns its version, "unknown" or "none yet". */
    fun seek(node: String, requestId: String, wait: Duration = Duration.ZERO): String {
        val call = CallKey(found.size + 1L)
        handle(node, OriginsEvent.Sought(call, requestId, Samples.desk))
        pass(wait)
        return when {
            call !in found -> "none yet"
            else -> (found[call] as StreamOrigin.BegunAt?)?.softwareVersion ?: "unknown"
        }
    }

    private fun handle(node: String, event: OriginsEvent) {
        val step = filter.step(nodes.getValue(node), event, now)
        nodes[node] = step.state
        step.actions.forEach { execute(node, it) }
    }

    private fun execute(node: String, action: OriginsAction) {
        when (action) {
            is OriginsAction.Read -> handle(node, OriginsEvent.ReadReplied(action.call, read()))
            is OriginsAction.Write -> handle(
                node,
                OriginsEvent.WriteReplied(action.call, write(action)),
            )
            is OriginsAction.Found -> found[action.call] = action.origin
            is OriginsAction.BeginOnlyAt -> limits[node] = action.versions[Samples.desk]
            is OriginsAction.RecordingChanged -> Unit
        }
    }

    private fun read(): RecordReply {
        calls++
        if (isStoreAway) return AWAY
        return RecordReply.Page(records.values.toPersistentList(), storeMillis(), next = null)
    }

    private fun write(action: OriginsAction.Write): RecordReply {
        calls++
        if (isStoreAway) return AWAY
        records = records - action.removals.toSet() + action.puts.associateBy { it.key }
        return RecordReply.Written(storeMillis())
    }

    private fun storeMillis() = STORE_CLOCK_AHEAD + now.inWholeMilliseconds

    private companion object {
        val TICK = 20.milliseconds
        const val STORE_CLOCK_AHEAD = 1_000_000L
        val AWAY = RecordReply.Failed("away")
    }
}
