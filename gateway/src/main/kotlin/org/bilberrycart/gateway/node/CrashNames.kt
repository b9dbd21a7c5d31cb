package org.bilberrycart.gateway.node

import org.bilberrycart.gateway.model.UpstreamId
import org.bilberrycart.gateway.placement.Incarnation
import org.bilberrycart.gateway.placement.UpstreamCrash

/** Translates crashes to their names in the gossip: NUMBER/START/ID, START in Unix milliseconds. */
internal object CrashNames {
    private const val FIELDS = 3

    /** Returns the name of [crash]. */
    fun nameOf(crash: UpstreamCrash): String = listOf(
        crash.number,
        crash.run.startedAtMillis ?: "",
        crash.run.id.value,
    ).joinToString("/")

    /** Returns the crash with [name]; any other text is taken for the id of an upstream. */
    fun crashOf(name: String): UpstreamCrash {
        val fields = name.split('/', limit = FIELDS)
        val number = fields.first().toIntOrNull()
        return when {
            fields.size < FIELDS || number == null ->
                UpstreamCrash(Incarnation(UpstreamId(name), startedAtMillis = null))
            else -> UpstreamCrash(
                Incarnation(UpstreamId(fields[2]), startedAtMillis = fields[1].toLongOrNull()),
                number,
            )
        }
    }
}
