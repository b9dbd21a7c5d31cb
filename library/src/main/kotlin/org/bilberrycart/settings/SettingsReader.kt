package org.bilberrycart.settings

import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement

/**
 * Reads settings from files, merged in the given order: a later file refines an earlier one.
 *
 * It never throws for bad input; every fault is in [SettingsResult.Invalid].
 */
public object SettingsReader {
    private const val NODE = "node"

    /** Reads the settings of one node: its local part and that of the fleet. */
    public fun read(files: List<SettingsFile>): SettingsResult<Settings> = merged(files) { root ->
        val fleet = checkFleet(root)
        val local = checkNode(root)
        val faults = fleet + local + RelationCheck(root).check()
        result(root, faults) {
            Settings(
                node = decode(NodeSettings.serializer(), root.entries.getValue(NODE).toJson()),
                fleet = decode(FleetSettings.serializer(), root.without(NODE).toJson()),
            )
        }
    }

    /** Reads the settings that all nodes share; what is local to a VM is left out. */
    public fun readFleet(files: List<SettingsFile>): SettingsResult<FleetSettings> =
        merged(files) { merged ->
            val root = merged.without(NODE)
            result(root, checkFleet(root) + RelationCheck(root).check()) {
                decode(FleetSettings.serializer(), root.toJson())
            }
        }

    private fun <T> merged(
        files: List<SettingsFile>,
        next: (SettingsNode.Branch) -> SettingsResult<T>,
    ): SettingsResult<T> {
        val parsed = files.map(SettingsParser::parse)
        val unreadable = parsed.filterIsInstance<SettingsParser.Parsed.Faulty>().map { it.fault }
        val merged = SettingsMerger.merge(parsed.filterIsInstance<SettingsParser.Parsed.Whole>())
        val earlier = unreadable + merged.faults
        return when (val result = next(merged.node)) {
            is SettingsResult.Valid -> if (earlier.isEmpty()) result else invalid(earlier)

            // With a file missing, what only that file sets would seem missing too.
            is SettingsResult.Invalid ->
                if (unreadable.isEmpty()) invalid(earlier + result.faults) else invalid(earlier)
        }
    }

    private fun checkFleet(root: SettingsNode.Branch): List<SettingsFault> =
        SchemaCheck(RuleCheck(root))
            .check(root.without(NODE), FleetSettings.serializer().descriptor, SettingsPath())

    private fun checkNode(root: SettingsNode.Branch): List<SettingsFault> {
        val type = NodeSettings.serializer().descriptor
        val at = SettingsPath().property(NODE)
        return when (val node = root.entries[NODE]) {
            null -> listOf(SettingsFault(root.file, NODE, "an object", "nothing"))
            else -> SchemaCheck(RuleCheck(root)).check(node, type, at)
        }
    }

    private fun <T> result(
        root: SettingsNode.Branch,
        faults: List<SettingsFault>,
        settings: () -> T,
    ): SettingsResult<T> = when {
        faults.isNotEmpty() -> invalid(faults)

        else -> try {
            SettingsResult.Valid(settings(), root)
        } catch (e: SerializationException) {
            val found = e.message.orEmpty().lineSequence().first()
            invalid(listOf(SettingsFault(root.file, "", "values of the documented types", found)))
        }
    }

    private fun invalid(faults: List<SettingsFault>): SettingsResult.Invalid =
        SettingsResult.Invalid(
            faults.distinct().sortedWith(compareBy({ it.file }, { it.path })).toPersistentList(),
        )

    private fun <T> decode(type: DeserializationStrategy<T>, element: JsonElement): T =
        Json.decodeFromJsonElement(type, element)
}
