package org.bilberrycart.settings

import kotlinx.serialization.descriptors.PolymorphicKind
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.SerialKind
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.descriptors.elementDescriptors
import kotlinx.serialization.descriptors.elementNames
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonPrimitive

/**
 * Validates merged settings against the serial descriptor of their type and reports all faults.
 *
 * Values and descriptors are traversed together, so that a new property of a settings type needs no
 * validation code of its own.
 */
internal class SchemaCheck(private val rules: RuleCheck) {
    /** Returns the faults of [node], which is at [at], as a value of [type]. */
    fun check(node: SettingsTree, type: SerialDescriptor, at: SettingsPath): List<SettingsFault> =
        when {
            type.isInline -> check(node, type.getElementDescriptor(0), at)

            else -> when (val kind = type.kind) {
                StructureKind.CLASS, StructureKind.OBJECT -> checkObject(node, type, at)
                StructureKind.MAP -> checkMap(node, type, at)
                StructureKind.LIST -> checkList(node, type, at)
                PolymorphicKind.SEALED -> checkSealed(node, type, at)
                SerialKind.ENUM -> checkEnum(node, type, at)
                is PrimitiveKind -> checkPrimitive(node, kind, at)
                else -> listOf(wrongType(node, at, "a value of a known type"))
            }
        }

    private fun checkObject(
        node: SettingsTree,
        type: SerialDescriptor,
        at: SettingsPath,
        extraKeys: Set<String> = emptySet(),
    ): List<SettingsFault> = when (node) {
        is SettingsTree.Leaf -> listOf(wrongType(node, at, "an object"))

        is SettingsTree.Branch -> {
            val names = type.elementNames.toList()
            val unknown = node.entries.filterKeys { it !in names && it !in extraKeys }
            val missing = names.indices.filter {
                !type.isElementOptional(it) && names[it] !in node.entries
            }
            unknown.map { (key, value) -> unknownKey(value, key, at, names + extraKeys) } +
                missing.map { missing(node, names[it], type.getElementDescriptor(it), at) } +
                names.flatMapIndexed { i, name ->
                    val child = node.entries[name] ?: return@flatMapIndexed emptyList()
                    check(child, type.getElementDescriptor(i), at.property(name))
                }
        }
    }

    private fun checkMap(
        node: SettingsTree,
        type: SerialDescriptor,
        at: SettingsPath,
    ): List<SettingsFault> = when (node) {
        is SettingsTree.Leaf -> listOf(wrongType(node, at, "an object"))

        is SettingsTree.Branch -> {
            val keys = type.getElementDescriptor(0)
            val values = type.getElementDescriptor(1)
            listOfNotNull(rules.checkEntries(node, at, node.entries.size)) +
                node.entries.flatMap { (key, value) ->
                    checkKey(value.file, key, keys, at) + check(value, values, at.entry(key))
                }
        }
    }

    private fun checkKey(
        file: String,
        key: String,
        type: SerialDescriptor,
        at: SettingsPath,
    ): List<SettingsFault> = when (type.kind) {
        SerialKind.ENUM -> {
            val names = type.elementNames.toList()
            val expected = "one of ${names.joinToString()}" + suggestion(key, names)
            val fault = SettingsFault(file, at.entry(key).path, expected, "the key \"$key\"")
            listOfNotNull(fault.takeUnless { key in names })
        }

        else -> listOfNotNull(
            rules.checkText(file, at.entry(key).path, at.keyPattern(), key),
        )
    }

    private fun checkList(
        node: SettingsTree,
        type: SerialDescriptor,
        at: SettingsPath,
    ): List<SettingsFault> {
        val array = (node as? SettingsTree.Leaf)?.value as? JsonArray
            ?: return listOf(wrongType(node, at, "an array"))
        return listOfNotNull(rules.checkEntries(node, at, array.size)) +
            array.flatMapIndexed { i, element ->
                val item = SettingsTree.of(element, node.file)
                check(item, type.getElementDescriptor(0), at.item(i))
            }
    }

    private fun checkSealed(
        node: SettingsTree,
        type: SerialDescriptor,
        at: SettingsPath,
    ): List<SettingsFault> {
        val branch = node as? SettingsTree.Branch ?: return listOf(wrongType(node, at, "an object"))
        val kinds = type.getElementDescriptor(1).elementDescriptors.associateBy { it.serialName }
        val name = branch.entries[TYPE]?.let(::textOf).orEmpty()
        val subtype = kinds[name]
        return when (subtype) {
            null -> {
                val file = branch.entries[TYPE]?.file ?: node.file
                val expected = "one of ${kinds.keys.joinToString()}" + suggestion(name, kinds.keys)
                val found = branch.entries[TYPE]?.let { describe(it.toJson()) } ?: NOTHING
                listOf(SettingsFault(file, at.property(TYPE).path, expected, found))
            }

            else -> checkObject(node, subtype, at, extraKeys = setOf(TYPE))
        }
    }

    private fun checkEnum(
        node: SettingsTree,
        type: SerialDescriptor,
        at: SettingsPath,
    ): List<SettingsFault> {
        val names = type.elementNames.toList()
        val text = textOf(node)
        if (text in names) return emptyList()
        val expected = "one of ${names.joinToString()}" + suggestion(text.orEmpty(), names)
        return listOf(wrongType(node, at, expected))
    }

    private fun checkPrimitive(
        node: SettingsTree,
        kind: PrimitiveKind,
        at: SettingsPath,
    ): List<SettingsFault> {
        val leaf = node as? SettingsTree.Leaf
        val primitive = leaf?.value as? JsonPrimitive
            ?: return listOf(wrongType(node, at, nameOf(kind)))
        val fault = when (kind) {
            PrimitiveKind.STRING -> checkText(leaf, primitive, at)
            PrimitiveKind.BOOLEAN -> wrongType(leaf, at, nameOf(kind)).takeUnless {
                !primitive.isString && primitive.content in BOOLEANS
            }

            else -> checkNumber(leaf, primitive, kind, at)
        }
        return listOfNotNull(fault)
    }

    private fun checkText(
        leaf: SettingsTree.Leaf,
        primitive: JsonPrimitive,
        at: SettingsPath,
    ): SettingsFault? = when {
        !primitive.isString -> wrongType(leaf, at, nameOf(PrimitiveKind.STRING))
        else -> rules.checkText(leaf.file, at.path, at.pattern, primitive.content)
    }

    private fun checkNumber(
        leaf: SettingsTree.Leaf,
        primitive: JsonPrimitive,
        kind: PrimitiveKind,
        at: SettingsPath,
    ): SettingsFault? {
        val number = when {
            primitive.isString -> null
            kind == PrimitiveKind.INT -> primitive.content.toIntOrNull()?.toDouble()
            kind == PrimitiveKind.LONG -> primitive.content.toLongOrNull()?.toDouble()
            else -> primitive.content.toDoubleOrNull()?.takeIf { it.isFinite() }
        }
        return when (number) {
            null -> wrongType(leaf, at, nameOf(kind))
            else -> rules.checkNumber(leaf, at, number)
        }
    }

    private fun textOf(node: SettingsTree): String? =
        ((node as? SettingsTree.Leaf)?.value as? JsonPrimitive)?.takeIf { it.isString }?.content

    private fun unknownKey(
        value: SettingsTree,
        key: String,
        at: SettingsPath,
        known: List<String>,
    ): SettingsFault {
        val expected = "no such key" + suggestion(key, known)
        return SettingsFault(value.file, joinPath(at.path, key), expected, "the key \"$key\"")
    }

    private fun missing(
        node: SettingsTree,
        name: String,
        type: SerialDescriptor,
        at: SettingsPath,
    ): SettingsFault = SettingsFault(node.file, joinPath(at.path, name), nameOf(type.kind), NOTHING)

    private fun wrongType(node: SettingsTree, at: SettingsPath, expected: String): SettingsFault =
        SettingsFault(node.file, at.path, expected, describe(node.toJson()))

    private fun nameOf(kind: SerialKind): String = when (kind) {
        PrimitiveKind.STRING -> "a string"
        PrimitiveKind.BOOLEAN -> "true or false"
        PrimitiveKind.INT, PrimitiveKind.LONG -> "a whole number"
        PrimitiveKind.DOUBLE -> "a number"
        StructureKind.LIST -> "an array"
        SerialKind.ENUM -> "a name"
        else -> "an object"
    }

    private companion object {
        const val TYPE = "type"
        const val NOTHING = "nothing"
        val BOOLEANS = setOf("true", "false")
    }
}
