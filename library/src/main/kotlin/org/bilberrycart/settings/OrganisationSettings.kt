package org.bilberrycart.settings

import kotlinx.serialization.Serializable
import org.bilberrycart.admission.OrganisationLimits
import org.bilberrycart.model.ServiceId

/**
 * An organisation that may send requests.
 *
 * @property keyHash the SHA-256 of its key, in lower-case hexadecimal; the key itself is never
 *   written down.
 * @property services the services open to it.
 * @property limits its limits over all nodes.
 */
@Serializable
public data class OrganisationSettings(
    val keyHash: String,
    val services: SettingsSet<ServiceId>,
    val limits: OrganisationLimits = OrganisationLimits(),
)
