package org.bilberrycart.settings

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf

private const val HASH_A = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
private const val HASH_B = "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"

private const val BASE = """
{
  "node": {
    "vm": "vm-1", "dataCentre": "dc-1", "operatorKeyHash": "$HASH_A",
    "callers": {"address": "10.0.0.1", "port": 8080},
    "operators": {"address": "10.0.0.1", "port": 8081},
    "peers": {"address": "10.0.0.1", "port": 8082}, // the comment stays
  },
  "dataCentres": {"dc-1": {"region": "r-1"}},
  "services": {
    "drafts": {"type": "generation", "models": [{"model": "m"}]},
    "calls": {"type": "plain", "repeatMode": "never"},
  },
  "upstreams": {
    "u-1": {"address": "10.0.1.1", "port": 9000, "dataCentre": "dc-1",
            "services": ["drafts"], "models": [{"model": "m"}], "slots": 4},
  },
  "organisations": {"club": {"keyHash": "$HASH_A", "services": ["drafts", "calls"]}},
}"""

private data class FaultCase(
    val name: String,
    val overlay: String,
    val faults: List<Pair<String, String>>,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

private fun faultCase(name: String, overlay: String, vararg faults: Pair<String, String>) =
    FaultCase(name, overlay, faults.toList())

private fun read(vararg overlays: String): SettingsResult<Settings> = SettingsReader.read(
    listOf(SettingsFile("00.json", BASE)) +
        overlays.mapIndexed { i, text -> SettingsFile("${i + 1}0.json", text) },
)

class SettingsReaderTest :
    FunSpec({
        context("a fault in a later file is reported with its file, path and expected value") {
            withData(
                faultCase(
                    "an unknown key",
                    """{"upstreams": {"u-1": {"adress": "10.0.1.2"}}}""",
                    "upstreams.u-1.adress" to """no such key (did you mean "address"?)""",
                ),
                faultCase(
                    "an unknown section",
                    """{"upstream": {}}""",
                    "upstream" to """no such key (did you mean "upstreams"?)""",
                ),
                faultCase(
                    "a string instead of a number",
                    """{"upstreams": {"u-1": {"slots": "4"}}}""",
                    "upstreams.u-1.slots" to "a whole number",
                ),
                faultCase(
                    "a fraction instead of a whole number",
                    """{"limits": {"shards": 1.5}}""",
                    "limits.shards" to "a whole number",
                ),
                faultCase(
                    "a number too large for a double",
                    """{"services": {"drafts": {"reserveShare": 1e999}}}""",
                    "services.drafts.reserveShare" to "a number",
                ),
                faultCase(
                    "an object instead of a scalar",
                    """{"limits": {"shards": {"count": 2}}}""",
                    "limits.shards" to "a whole number",
                ),
                faultCase(
                    "a value out of range",
                    """{"organisations": {"club": {"limits": {"weight": 0}}}}""",
                    "organisations.club.limits.weight" to "a number from 1 to 1000",
                ),
                faultCase(
                    "a reference to an unknown service",
                    """{"organisations": {"club": {"services": ["draft"]}}}""",
                    "organisations.club.services[0]" to
                        """a key of services (did you mean "drafts"?)""",
                ),
                faultCase(
                    "a reference to an unknown data centre",
                    """{"node": {"dataCentre": "somewhere"}}""",
                    "node.dataCentre" to "a key of dataCentres",
                ),
                faultCase(
                    "a maintenance plan for an unknown upstream",
                    """{"maintenancePlans": {"p": {"type": "drain", "upstreams": ["u-2"]}}}""",
                    "maintenancePlans.p.upstreams[0]" to
                        """a key of upstreams (did you mean "u-1"?)""",
                ),
                faultCase(
                    "an unknown subtype",
                    """{"services": {"drafts": {"routing": {"type": "robin"}}}}""",
                    "services.drafts.routing.type" to
                        "one of dedicated, leastOfRandom, prefixAffinity, roundRobin",
                ),
                faultCase(
                    "an unknown request class",
                    """{"classes": {"shortQuestions": {"deadlineMillis": 1000}}}""",
                    "classes.shortQuestions" to
                        "one of shortQuestion, action, check, longDraft" +
                        """ (did you mean "shortQuestion"?)""",
                ),
                faultCase(
                    "a required value that is removed",
                    """{"upstreams": {"u-1": {"port": null}}}""",
                    "upstreams.u-1.port" to "a whole number",
                ),
                faultCase(
                    "the removal of a value that was never set",
                    """{"upstreams": {"u-2": null}}""",
                    "upstreams.u-2" to "a value that an earlier file set, to remove it",
                ),
                faultCase(
                    "a host name instead of an IP address",
                    """{"upstreams": {"u-1": {"address": "engine.example"}}}""",
                    "upstreams.u-1.address" to "an IP address",
                ),
                faultCase(
                    "two listeners on the same port",
                    """{"node": {"peers": {"port": 8080}}}""",
                    "node.peers.port" to "a port of its own",
                ),
                faultCase(
                    "two organisations with the same key",
                    """{"organisations": {"rival": {"keyHash": "$HASH_A", "services": []}}}""",
                    "organisations.rival.keyHash" to "a key of its own",
                ),
                faultCase(
                    "an upper bound below its lower bound",
                    """{"services": {"drafts":
                        {"silenceFloorMillis": 500, "silenceCapMillis": 100}}}""",
                    "services.drafts.silenceCapMillis" to
                        "a number of at least silenceFloorMillis (500)",
                ),
                faultCase("broken JSON", """{"limits": {""", "" to "JSON with comments"),
                faultCase("an array at the root", "[1]", "" to "an object"),
                faultCase(
                    "nesting that is too deep",
                    """{"a":""" + "[".repeat(100) + "]".repeat(100) + "}",
                    "" to "nesting of at most 32 levels",
                ),
                faultCase(
                    "several faults in one file",
                    """{"limits": {"shards": 0, "shard": 1},
                        "upstreams": {"u-1": {"services": ["x"], "slots": true}}}""",
                    "limits.shards" to "a number from 1 to 64",
                    "limits.shard" to """no such key (did you mean "shards"?)""",
                    "upstreams.u-1.services[0]" to "a key of services",
                    "upstreams.u-1.slots" to "a whole number",
                ),
            ) { case ->
                val result = read(case.overlay).shouldBeInstanceOf<SettingsResult.Invalid>()
                result.faults.map { it.path to it.expected } shouldContainExactlyInAnyOrder
                    case.faults
                result.faults.map { it.file }.toSet() shouldBe setOf("10.json")
            }
        }

        test("the faults of several files are reported together, in file order") {
            val result = read("""{"limits": {"shards": 0}}""", """{"limit": {}}""")
                .shouldBeInstanceOf<SettingsResult.Invalid>()
            result.faults.map { it.file } shouldBe listOf("10.json", "20.json")
        }

        test("the base file is valid and the default values apply") {
            val settings = read().shouldBeInstanceOf<SettingsResult.Valid<Settings>>().settings
            settings.fleet.limits shouldBe LimitSettings()
            settings.fleet.declaredUpstreams().single().slots shouldBe 4
        }

        test("a later file overrides values, replaces arrays and removes keys by null") {
            val result = read(
                """{"organisations": {"club": {"services": ["calls"]}},
                    "upstreams": {"u-2": {"address": "10.0.1.2", "port": 9000,
                      "dataCentre": "dc-1", "services": ["calls"], "slots": 1}}}""",
                """{"upstreams": {"u-1": null, "u-2": {"slots": 9}},
                    "organisations": {"club": {"keyHash": "$HASH_B"}}}""",
            ).shouldBeInstanceOf<SettingsResult.Valid<Settings>>()
            val fleet = result.settings.fleet
            fleet.upstreams.mapKeys { it.key.value }.mapValues { it.value.slots } shouldBe
                mapOf("u-2" to 9)
            fleet.organisations.values.single().services.map { it.value } shouldBe listOf("calls")
            result.document.leaves().filter { it.path.startsWith("upstreams.u-2.") }
                .associate { it.path.substringAfterLast('.') to it.file } shouldBe mapOf(
                "address" to "10.json",
                "port" to "10.json",
                "dataCentre" to "10.json",
                "services" to "10.json",
                "slots" to "20.json",
            )
        }

        test("the shared settings are read without the settings of the VM") {
            val files = listOf(SettingsFile("00.json", BASE))
            val whole = read().shouldBeInstanceOf<SettingsResult.Valid<Settings>>()
            val fleet = SettingsReader.readFleet(files)
                .shouldBeInstanceOf<SettingsResult.Valid<FleetSettings>>()
            fleet.settings shouldBe whole.settings.fleet
            val published = SettingsFile("version 1", fleet.document.toJson().toString())
            SettingsReader.readFleet(listOf(published))
                .shouldBeInstanceOf<SettingsResult.Valid<FleetSettings>>()
                .settings shouldBe fleet.settings
        }
    })
