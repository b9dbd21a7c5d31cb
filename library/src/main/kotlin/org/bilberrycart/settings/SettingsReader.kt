package org.bilberrycart.settings

import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement

/**
 * Reads settings from files, merged in the given order: later files override earlier ones.
 *
 * Invalid input never causes an exception; all faults are in [SettingsResult.Invalid].
 */
public object SettingsReader {
    private const val NODE = "node"

    /** Reads the settings of one node: its own and those that all nodes share. */
    public fun read(files: List<SettingsFile>): SettingsResult<Settings> =
        validated(files) { root ->
            val fleet = checkFleet(root)
            val local = checkNode(root)
            val faults = fleet + local + CrossFieldCheck(root).check()
            decodeIfValid(root, faults) {
                Settings(
                    node = decode(NodeSettings.serializer(), root.entries.getValue(NODE).toJson()),
                    fleet = decode(FleetSettings.serializer(), root.without(NODE).toJson()),
                )
            }
        }

    /** Reads the settings that all nodes share, and ignores those of one VM. */
    public fun readFleet(files: List<SettingsFile>): SettingsResult<FleetSettings> =
        validated(files) { merged ->
            val root = merged.without(NODE)
            decodeIfValid(root, checkFleet(root) + CrossFieldCheck(root).check()) {
                decode(FleetSettings.serializer(), root.toJson())
            }
        }

    private fun <T> validated(
        files: List<SettingsFile>,
        validate: (SettingsTree.Branch) -> SettingsResult<T>,
    ): SettingsResult<T> {
        val parsed = files.map(SettingsParser::parse)
        val unparsable = parsed.filterIsInstance<SettingsParser.Parsed.Failure>().map { it.fault }
        val merged = SettingsMerger.merge(parsed.filterIsInstance<SettingsParser.Parsed.Success>())
        val earlier = unparsable + merged.faults
        return when (val result = validate(merged.node)) {
            is SettingsResult.Valid -> if (earlier.isEmpty()) result else invalid(earlier)

            // Validation would report values as missing that only an unparsable file sets.
            is SettingsResult.Invalid ->
                if (unparsable.isEmpty()) invalid(earlier + result.faults) else invalid(earlier)
        }
    }

    private fun checkFleet(root: SettingsTree.Branch): List<SettingsFault> =
        SchemaCheck(RuleCheck(root))
            .check(root.without(NODE), FleetSettings.serializer().descriptor, SettingsPath())

    private fun checkNode(root: SettingsTree.Branch): List<SettingsFault> {
        val type = NodeSettings.serializer().descriptor
        val at = SettingsPath().property(NODE)
        return when (val node = root.entries[NODE]) {
            null -> listOf(SettingsFault(root.file, NODE, "an object", "nothing"))
            else -> SchemaCheck(RuleCheck(root)).check(node, type, at)
        }
    }

    private fun <T> decodeIfValid(
        root: SettingsTree.Branch,
        faults: List<SettingsFault>,
        decode: () -> T,
    ): SettingsResult<T> = when {
        faults.isNotEmpty() -> invalid(faults)

        else -> try {
            SettingsResult.Valid(decode(), root)
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
