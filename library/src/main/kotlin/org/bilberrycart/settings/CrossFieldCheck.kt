package org.bilberrycart.settings

import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.longOrNull

/** Checks constraints between values: values that must be unique, and lower and upper bounds. */
internal class CrossFieldCheck(private val root: SettingsTree.Branch) {
    /** Returns all violations of these constraints. */
    fun check(): List<SettingsFault> = listenPorts() + upstreamAddresses() + keyHashes() +
        children("services").flatMap { (path, service) ->
            checkOrder(path, service, "silenceFloorMillis", "silenceCapMillis")
        } +
        children("classes").flatMap { (path, settings) ->
            checkOrder(path, settings, "deadlineMillis", "longestDeadlineMillis")
        }

    private fun listenPorts(): List<SettingsFault> = duplicates(
        listOf("callers", "operators", "peers").mapNotNull { name ->
            val node = root.at("node", name, "port") ?: return@mapNotNull null
            val port = node.longOrNull()?.takeIf { it > 0 } ?: return@mapNotNull null
            UniqueValue("node.$name.port", node.file, "$port")
        },
        expected = "a port of its own",
    )

    private fun upstreamAddresses(): List<SettingsFault> = duplicates(
        children("upstreams").mapNotNull { (path, upstream) ->
            val address = upstream.at("address")?.textOrNull() ?: return@mapNotNull null
            val port = upstream.at("port") ?: return@mapNotNull null
            UniqueValue("$path.port", port.file, "$address:${port.longOrNull()}")
        },
        expected = "an address and port of its own",
    )

    private fun keyHashes(): List<SettingsFault> = duplicates(
        children("organisations").mapNotNull { (path, organisation) ->
            val hash = organisation.at("keyHash") ?: return@mapNotNull null
            UniqueValue("$path.keyHash", hash.file, hash.textOrNull() ?: return@mapNotNull null)
        },
        expected = "a key of its own",
    )

    private data class UniqueValue(val path: String, val file: String, val value: String)

    private fun duplicates(values: List<UniqueValue>, expected: String): List<SettingsFault> =
        values.groupBy { it.value }.values.flatMap { group ->
            group.drop(1).map {
                SettingsFault(it.file, it.path, expected, "that of ${group.first().path}")
            }
        }

    private fun checkOrder(
        path: String,
        branch: SettingsTree.Branch,
        smaller: String,
        larger: String,
    ): List<SettingsFault> {
        val lowerBound = branch.at(smaller)?.longOrNull()
        val upperBound = branch.at(larger)?.longOrNull()
        if (lowerBound == null || upperBound == null || upperBound >= lowerBound) return emptyList()
        val expected = "a number of at least $smaller ($lowerBound)"
        val file = branch.entries.getValue(larger).file
        return listOf(SettingsFault(file, "$path.$larger", expected, "$upperBound"))
    }

    private data class Child(val path: String, val node: SettingsTree.Branch)

    private fun children(section: String): List<Child> {
        val entries = (root.entries[section] as? SettingsTree.Branch)?.entries.orEmpty()
        return entries.mapNotNull { (key, node) ->
            (node as? SettingsTree.Branch)?.let { Child("$section.$key", it) }
        }
    }

    private fun SettingsTree.Branch.at(vararg keys: String): SettingsTree? =
        keys.fold<String, SettingsTree?>(this) { node, key ->
            (node as? SettingsTree.Branch)?.entries?.get(key)
        }

    private fun SettingsTree.longOrNull(): Long? = primitive()?.takeIf { !it.isString }?.longOrNull

    private fun SettingsTree.textOrNull(): String? =
        primitive()?.takeIf { it.isString }?.contentOrNull

    private fun SettingsTree.primitive(): JsonPrimitive? =
        (this as? SettingsTree.Leaf)?.value as? JsonPrimitive
}
