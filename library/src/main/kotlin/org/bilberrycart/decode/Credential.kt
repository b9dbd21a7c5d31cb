package org.bilberrycart.decode

import org.bilberrycart.model.OrganisationId

/** What a caller proves itself with: the id of its organisation and the organisation's key. */
public data class Credential(val organisation: OrganisationId, val key: String) {
    override fun toString(): String = "Credential($organisation)"

    public companion object {
        /** Parses `Bearer organisation:key`; returns null if [header] is not of that form. */
        public fun parse(header: String?): Credential? {
            val token =
                header?.takeIf { it.startsWith(SCHEME) }?.removePrefix(SCHEME) ?: return null
            val organisation = token.substringBefore(':', missingDelimiterValue = "")
            if (organisation.isEmpty()) return null
            return Credential(OrganisationId(organisation), token.substringAfter(':'))
        }

        private const val SCHEME = "Bearer "
    }
}
