package org.bilberrycart.settings

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.bilberrycart.settings.SettingsRule.Entries
import org.bilberrycart.settings.SettingsRule.Matches
import org.bilberrycart.settings.SettingsRule.Range
import org.bilberrycart.settings.SettingsRule.Reference

/**
 * The table of rules, by path; `*` stands for the values of a map or the items of an array, and
 * [KEY] for the keys of a map.
 */
internal object SettingsRules {
    const val KEY = "#key"

    private const val HIGHEST_PORT = 65_535.0
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
    private val variable = Matches(Regex("[A-Z][A-Z0-9_]{0,63}"), "an environment variable")
    private const val OCTET = "(25[0-5]|2[0-4]\\d|1?\\d?\\d)"
    private const val IPV6 = "[0-9a-fA-F:]*:[0-9a-fA-F:]+"
    private val ipAddress = Matches(Regex("$OCTET(\\.$OCTET){3}|$IPV6"), "an IP address")
    private val listenPort = Range(least = 0.0, most = HIGHEST_PORT)
    private val port = Range(least = 1.0, most = HIGHEST_PORT)
    private val millis = Range(least = 1.0, most = DAY_MILLIS)
    private val silence = Range(least = 10.0, most = HOUR_MILLIS)
    private val share = Range(least = 0.0, most = 1.0)
    private val candidates = Range(least = 1.0, most = 16.0)
    private val dataCentre = Reference("dataCentres")
    private val service = Reference("services")
    private val upstream = Reference("upstreams")
    private val oneOrMore = Entries(least = 1)

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
        "node.peerSecretVariable" to variable,
    )

    private val organisations: PersistentMap<String, SettingsRule> = persistentMapOf(
        "organisations.$KEY" to id,
        "organisations.*.keyHash" to keyHash,
        "organisations.*.services.*" to service,
        "organisations.*.limits.weight" to Range(least = 1.0, most = 1_000.0),
        "organisations.*.limits.requestsPerSecond" to Range(least = 0.001, most = 1_000_000.0),
        "organisations.*.limits.concurrentGenerations" to Range(least = 1.0, most = 1_000_000.0),
        "organisations.*.limits.tokensPerMinute" to Range(least = 1.0, most = 1e12),
    )

    private val services: PersistentMap<String, SettingsRule> = persistentMapOf(
        "services.$KEY" to id,
        "services.*.models" to oneOrMore,
        "services.*.models.*.model" to name,
        "services.*.models.*.version" to name,
        "services.*.routing.candidates" to candidates,
        "services.*.routing.loadBound" to Range(least = 1.0, most = 10.0),
        "services.*.routing.shortShare" to share,
        "services.*.resume.engines" to Range(least = 2.0, most = 4.0),
        "services.*.promptLimitChars" to Range(least = 1.0, most = MEBIBYTE),
        "services.*.answerLimitTokens" to Range(least = 1.0, most = MEBIBYTE),
        "services.*.silenceFloorMillis" to silence,
        "services.*.silenceCapMillis" to silence,
        "services.*.reserveShare" to Range(least = 0.0, most = 0.9),
        "services.*.reconnectGraceMillis" to millis,
        "services.*.attemptLimit" to Range(least = 1.0, most = 100.0),
        "services.*.callTimeoutMillis" to Range(least = 1.0, most = HOUR_MILLIS),
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
        "upstreams.*.slots" to Range(least = 1.0, most = 4_096.0),
    )

    private val rest: PersistentMap<String, SettingsRule> = persistentMapOf(
        "dataCentres" to oneOrMore,
        "dataCentres.$KEY" to id,
        "dataCentres.*.region" to id,
        "limits.headerBytes" to Range(least = KIBIBYTE, most = MEBIBYTE),
        "limits.bodyBytes" to Range(least = KIBIBYTE, most = 64.0 * MEBIBYTE),
        "limits.streamsPerOrganisation" to Range(least = 1.0, most = 1_000_000.0),
        "limits.idleCallerMillis" to Range(least = SECOND_MILLIS, most = DAY_MILLIS),
        "limits.generations" to Range(least = 1.0, most = 1_000_000.0),
        "limits.shards" to Range(least = 1.0, most = 64.0),
        "limits.drainMillis" to Range(least = 0.0, most = DAY_MILLIS),
        "limits.organisationSeries" to Range(least = 0.0, most = 100.0),
        "classes.*.deadlineMillis" to millis,
        "classes.*.longestDeadlineMillis" to millis,
        "maintenancePlans.$KEY" to id,
        "maintenancePlans.*.upstreams.*" to upstream,
        "maintenancePlans.*.dataCentres.*" to dataCentre,
        "maintenancePlans.*.model.model" to name,
        "maintenancePlans.*.model.version" to name,
        "maintenancePlans.*.atOnce" to Range(least = 1.0, most = 1_000.0),
    )

    private val table: PersistentMap<String, SettingsRule> =
        node.putAll(organisations).putAll(services).putAll(upstreams).putAll(rest)

    /** Returns the rule for values at [pattern]. */
    fun ruleAt(pattern: String): SettingsRule? = table[pattern]

    /** All paths that have a rule. */
    val patterns: Set<String> get() = table.keys
}
