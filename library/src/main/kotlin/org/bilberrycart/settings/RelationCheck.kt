package org.bilberrycart.settings

import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.longOrNull

/** Checks what only several values together can break. */
internal class RelationCheck(private val root: SettingsNode.Branch) {
    fun check(): List<SettingsFault> = listenPorts() + upstreamAddresses() + keyHashes() +
        children("services").flatMap { (path, service) ->
            order(path, service, "silenceFloorMillis", "silenceCapMillis")
        } +
        children("classes").flatMap { (path, settings) ->
            order(path, settings, "deadlineMillis", "longestDeadlineMillis")
        }

    private fun listenPorts(): List<SettingsFault> = repeats(
        listOf("callers", "operators", "peers").mapNotNull { name ->
            val node = root.at("node", name, "port") ?: return@mapNotNull null
            val port = node.longOrNull()?.takeIf { it > 0 } ?: return@mapNotNull null
            Distinct("node.$name.port", node.file, "$port")
        },
        what = "a port of its own",
    )

    private fun upstreamAddresses(): List<SettingsFault> = repeats(
        children("upstreams").mapNotNull { (path, upstream) ->
            val address = upstream.at("address")?.textOrNull() ?: return@mapNotNull null
            val port = upstream.at("port") ?: return@mapNotNull null
            Distinct("$path.port", port.file, "$address:${port.longOrNull()}")
        },
        what = "an address and port of its own",
    )

    private fun keyHashes(): List<SettingsFault> = repeats(
        children("organisations").mapNotNull { (path, organisation) ->
            val hash = organisation.at("keyHash") ?: return@mapNotNull null
            Distinct("$path.keyHash", hash.file, hash.textOrNull() ?: return@mapNotNull null)
        },
        what = "a key of its own",
    )

    private data class Distinct(val path: String, val file: String, val value: String)

    private fun repeats(values: List<Distinct>, what: String): List<SettingsFault> =
        values.groupBy { it.value }.values.flatMap { same ->
            same.drop(1).map {
                SettingsFault(it.file, it.path, what, "that of ${same.first().path}")
            }
        }

    private fun order(
        path: String,
        branch: SettingsNode.Branch,
        smaller: String,
        larger: String,
    ): List<SettingsFault> {
        val least = branch.at(smaller)?.longOrNull()
        val most = branch.at(larger)?.longOrNull()
        if (least == null || most == null || most >= least) return emptyList()
        val expected = "a number of at least $smaller ($least)"
        val file = branch.entries.getValue(larger).file
        return listOf(SettingsFault(file, "$path.$larger", expected, "$most"))
    }

    private data class Child(val path: String, val node: SettingsNode.Branch)

    private fun children(section: String): List<Child> {
        val entries = (root.entries[section] as? SettingsNode.Branch)?.entries.orEmpty()
        return entries.mapNotNull { (key, node) ->
            (node as? SettingsNode.Branch)?.let { Child("$section.$key", it) }
        }
    }

    private fun SettingsNode.Branch.at(vararg keys: String): SettingsNode? =
        keys.fold<String, SettingsNode?>(this) { node, key ->
            (node as? SettingsNode.Branch)?.entries?.get(key)
        }

    private fun SettingsNode.longOrNull(): Long? = primitive()?.takeIf { !it.isString }?.longOrNull

    private fun SettingsNode.textOrNull(): String? =
        primitive()?.takeIf { it.isString }?.contentOrNull

    private fun SettingsNode.primitive(): JsonPrimitive? =
        (this as? SettingsNode.Leaf)?.value as? JsonPrimitive
}
