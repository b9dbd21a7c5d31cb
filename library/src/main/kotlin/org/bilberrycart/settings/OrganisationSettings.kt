package org.bilberrycart.settings

import kotlinx.serialization.Serializable
import org.bilberrycart.admission.OrganisationLimits
import org.bilberrycart.model.ServiceId

/**
 * An organisation that may send requests.
 *
 * @property keyHash the SHA-256 hash of its key, in lower-case hexadecimal; the key itself is
 *   never stored.
 * @property services the services that the organisation may call.
 * @property limits the limits that apply to the sum of its requests on all nodes.
 */
@Serializable
public data class OrganisationSettings(
    val keyHash: String,
    val services: SettingsSet<ServiceId>,
    val limits: OrganisationLimits = OrganisationLimits(),
)
