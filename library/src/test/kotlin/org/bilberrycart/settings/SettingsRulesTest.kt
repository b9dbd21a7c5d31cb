package org.bilberrycart.settings

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.serialization.descriptors.PolymorphicKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.descriptors.elementDescriptors
import kotlinx.serialization.descriptors.elementNames

private fun patterns(type: SerialDescriptor, at: String): Set<String> = setOf(at) +
    when (type.kind) {
        StructureKind.CLASS, StructureKind.OBJECT ->
            type.elementNames.flatMapIndexed { i, name ->
                patterns(type.getElementDescriptor(i), joinPath(at, name))
            }

        StructureKind.MAP -> patterns(type.getElementDescriptor(1), joinPath(at, "*")) +
            joinPath(at, SettingsRules.KEY)

        StructureKind.LIST -> patterns(type.getElementDescriptor(0), joinPath(at, "*"))

        PolymorphicKind.SEALED ->
            type.getElementDescriptor(1).elementDescriptors.flatMap { patterns(it, at) }

        else -> emptySet()
    }

class SettingsRulesTest :
    FunSpec({
        test("each rule matches a path of the settings types") {
            val possible = patterns(FleetSettings.serializer().descriptor, "") +
                patterns(NodeSettings.serializer().descriptor, "node")
            SettingsRules.patterns - possible shouldBe emptySet()
        }
    })
