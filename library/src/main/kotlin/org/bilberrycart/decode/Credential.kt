package org.bilberrycart.decode

import org.bilberrycart.model.OrganisationId

/**
 * The credential that a caller sends: the id of its organisation and the secret key of that
 * organisation.
 *
 * [toString] omits the key, so that it does not reach a log.
 */
public data class Credential(val organisation: OrganisationId, val key: String) {
    override fun toString(): String = "Credential($organisation)"

    public companion object {
        /**
         * Parses the value of an `Authorization` header of the form `Bearer organisation:key`.
         *
         * Returns null if [header] is null or has another form.
         */
        public fun parse(header: String?): Credential? {
            val token =
                header?.takeIf { it.startsWith(BEARER_PREFIX) }?.removePrefix(BEARER_PREFIX)
                    ?: return null
            val organisation = token.substringBefore(':', missingDelimiterValue = "")
            if (organisation.isEmpty()) return null
            return Credential(OrganisationId(organisation), token.substringAfter(':'))
        }

        private const val BEARER_PREFIX = "Bearer "
    }
}
