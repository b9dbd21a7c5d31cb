package org.bilberrycart.settings

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.bilberrycart.settings.SettingsRule.Matches
import org.bilberrycart.settings.SettingsRule.MinEntries
import org.bilberrycart.settings.SettingsRule.Range
import org.bilberrycart.settings.SettingsRule.Reference

/**
 * The rules for all values, by path pattern.
 *
 * In a pattern, `*` stands for the values of a map or the items of an array, and [KEY] for the keys
 * of a map.
 */
internal object SettingsRules {
    const val KEY = "#key"

    private const val MAX_PORT = 65_535.0
    private const val DAY_MILLIS = 86_400_000.0
    private const val HOUR_MILLIS = 3_600_000.0
    private const val SECOND_MILLIS = 1_000.0
    private const val MEBIBYTE = 1_048_576.0
    private const val KIBIBYTE = 1_024.0

    private val id = Matches(
        Regex("[A-Za-z0-9][A-Za-z0-9_-]{0,63}"),
        "1 to 64 letters, digits, _ or -, the first a letter or digit",
    )
    private val name =
        Matches(Regex("[A-Za-z0-9][A-Za-z0-9._:-]{0,63}"), "a name of 1 to 64 characters")
    private val keyHash = Matches(Regex("[0-9a-f]{64}"), "a SHA-256 in lower-case hexadecimal")
    private val environmentVariable =
        Matches(Regex("[A-Z][A-Z0-9_]{0,63}"), "an environment variable")
    private const val OCTET = "(25[0-5]|2[0-4]\\d|1?\\d?\\d)"
    private const val IPV6 = "[0-9a-fA-F:]*:[0-9a-fA-F:]+"
    private val ipAddress = Matches(Regex("$OCTET(\\.$OCTET){3}|$IPV6"), "an IP address")
    private val listenPort = Range(min = 0.0, max = MAX_PORT)
    private val port = Range(min = 1.0, max = MAX_PORT)
    private val millis = Range(min = 1.0, max = DAY_MILLIS)
    private val silenceMillis = Range(min = 10.0, max = HOUR_MILLIS)
    private val share = Range(min = 0.0, max = 1.0)
    private val candidates = Range(min = 1.0, max = 16.0)
    private val dataCentre = Reference("dataCentres")
    private val service = Reference("services")
    private val upstream = Reference("upstreams")
    private val oneOrMore = MinEntries(min = 1)

    private val node: PersistentMap<String, SettingsRule> = persistentMapOf(
        "node.vm" to id,
        "node.dataCentre" to dataCentre,
        "node.callers.address" to ipAddress,
        "node.callers.port" to listenPort,
        "node.operators.address" to ipAddress,
        "node.operators.port" to listenPort,
        "node.peers.address" to ipAddress,
        "node.peers.port" to listenPort,
        "node.seeds.*.address" to ipAddress,
        "node.seeds.*.port" to port,
        "node.platform.address" to ipAddress,
        "node.platform.port" to port,
        "node.operatorKeyHash" to keyHash,
        "node.peerSecretVariable" to environmentVariable,
    )

    private val organisations: PersistentMap<String, SettingsRule> = persistentMapOf(
        "organisations.$KEY" to id,
        "organisations.*.keyHash" to keyHash,
        "organisations.*.services.*" to service,
        "organisations.*.limits.weight" to Range(min = 1.0, max = 1_000.0),
        "organisations.*.limits.requestsPerSecond" to Range(min = 0.001, max = 1_000_000.0),
        "organisations.*.limits.concurrentGenerations" to Range(min = 1.0, max = 1_000_000.0),
        "organisations.*.limits.tokensPerMinute" to Range(min = 1.0, max = 1e12),
    )

    private val services: PersistentMap<String, SettingsRule> = persistentMapOf(
        "services.$KEY" to id,
        "services.*.models" to oneOrMore,
        "services.*.models.*.model" to name,
        "services.*.models.*.version" to name,
        "services.*.routing.candidates" to candidates,
        "services.*.routing.loadBound" to Range(min = 1.0, max = 10.0),
        "services.*.routing.shortShare" to share,
        "services.*.resume.engines" to Range(min = 2.0, max = 4.0),
        "services.*.promptLimitChars" to Range(min = 1.0, max = MEBIBYTE),
        "services.*.answerLimitTokens" to Range(min = 1.0, max = MEBIBYTE),
        "services.*.silenceFloorMillis" to silenceMillis,
        "services.*.silenceCapMillis" to silenceMillis,
        "services.*.reserveShare" to Range(min = 0.0, max = 0.9),
        "services.*.reconnectGraceMillis" to millis,
        "services.*.attemptLimit" to Range(min = 1.0, max = 100.0),
        "services.*.callTimeoutMillis" to Range(min = 1.0, max = HOUR_MILLIS),
    )

    private val upstreams: PersistentMap<String, SettingsRule> = persistentMapOf(
        "upstreams.$KEY" to id,
        "upstreams.*.address" to ipAddress,
        "upstreams.*.port" to port,
        "upstreams.*.dataCentre" to dataCentre,
        "upstreams.*.services" to oneOrMore,
        "upstreams.*.services.*" to service,
        "upstreams.*.models.*.model" to name,
        "upstreams.*.models.*.version" to name,
        "upstreams.*.slots" to Range(min = 1.0, max = 4_096.0),
    )

    private val otherSections: PersistentMap<String, SettingsRule> = persistentMapOf(
        "dataCentres" to oneOrMore,
        "dataCentres.$KEY" to id,
        "dataCentres.*.region" to id,
        "limits.headerBytes" to Range(min = KIBIBYTE, max = MEBIBYTE),
        "limits.bodyBytes" to Range(min = KIBIBYTE, max = 64.0 * MEBIBYTE),
        "limits.streamsPerOrganisation" to Range(min = 1.0, max = 1_000_000.0),
        "limits.idleCallerMillis" to Range(min = SECOND_MILLIS, max = DAY_MILLIS),
        "limits.generations" to Range(min = 1.0, max = 1_000_000.0),
        "limits.shards" to Range(min = 1.0, max = 64.0),
        "limits.drainMillis" to Range(min = 0.0, max = DAY_MILLIS),
        "limits.organisationSeries" to Range(min = 0.0, max = 100.0),
        "classes.*.deadlineMillis" to millis,
        "classes.*.longestDeadlineMillis" to millis,
        "maintenancePlans.$KEY" to id,
        "maintenancePlans.*.upstreams.*" to upstream,
        "maintenancePlans.*.dataCentres.*" to dataCentre,
        "maintenancePlans.*.model.model" to name,
        "maintenancePlans.*.model.version" to name,
        "maintenancePlans.*.atOnce" to Range(min = 1.0, max = 1_000.0),
    )

    private val rules: PersistentMap<String, SettingsRule> =
        node.putAll(organisations).putAll(services).putAll(upstreams).putAll(otherSections)

    /** Returns the rule for values at [pattern]; null if there is none. */
    fun ruleFor(pattern: String): SettingsRule? = rules[pattern]

    /** The path patterns of all rules. */
    val patterns: Set<String> get() = rules.keys
}
