package org.bilberrycart.gateway.discovery

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.bilberrycart.gateway.model.RequestLimits
import org.bilberrycart.gateway.model.ServiceName
import org.bilberrycart.gateway.model.ServingConfiguration
import org.bilberrycart.gateway.model.UpstreamEntry
import org.bilberrycart.gateway.model.UpstreamId

/**
 * Reads rows whose value is a word and a number: the version of a configuration ("configuration 3")
 * or when a process of an upstream started ("ready 100", "leaving 100").
 */
internal object TestRows : RowReader {
    override fun configuration(row: StoreRow): ConfigurationRow = when (word(row)) {
        "configuration" -> ConfigurationRow.Read(configuration(number(row)), persistentListOf())
        else -> ConfigurationRow.Other
    }

    override fun upstream(row: StoreRow): UpstreamEntry? = when (val word = word(row)) {
        "ready", "leaving" -> UpstreamEntry(
            id = UpstreamId(row.key),
            service = ServiceName("s"),
            host = "10.0.0.1",
            port = 1,
            dataCentre = "z1",
            slots = 4,
            isLeaving = word == "leaving",
            startedAtMillis = number(row),
        )
        else -> null
    }

    private fun configuration(version: Long) = ServingConfiguration(
        version,
        routes = persistentListOf(),
        services = persistentMapOf(),
        limits = RequestLimits(),
        organisations = null,
    )

    private fun word(row: StoreRow) = row.value?.text()?.substringBefore(' ')

    private fun number(row: StoreRow) = row.value!!.text().substringAfter(' ').toLong()
}
