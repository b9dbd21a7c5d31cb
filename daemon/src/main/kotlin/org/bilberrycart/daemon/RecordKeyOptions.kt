package org.bilberrycart.daemon

import com.github.ajalt.clikt.parameters.groups.OptionGroup
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import org.bilberrycart.idempotency.RecordKey
import org.bilberrycart.model.IdempotencyKey
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.ServiceId

/** The options that identify one call and the platform that stores its record. */
class RecordKeyOptions : OptionGroup() {
    /** The base URL of the platform. */
    val platform by option(
        "--platform",
        metavar = "URL",
        help = "the platform, such as http://10.0.0.5:8080",
    )
        .required()
    private val organisation by option(
        "--organisation",
        help = "the organisation that called",
    ).required()
    private val service by option("--service", help = "the service that was called").required()
    private val key by option("--key", help = "the Idempotency-Key of the call").required()

    /** The key under which the call is recorded. */
    val recordKey: RecordKey
        get() = RecordKey(OrganisationId(organisation), ServiceId(service), IdempotencyKey(key))
}
