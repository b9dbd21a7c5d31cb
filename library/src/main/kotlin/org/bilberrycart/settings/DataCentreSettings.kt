package org.bilberrycart.settings

import kotlinx.serialization.Serializable

/** A data centre and the [region] it is in. */
@Serializable
public data class DataCentreSettings(val region: String)
