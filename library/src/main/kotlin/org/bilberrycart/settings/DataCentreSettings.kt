package org.bilberrycart.settings

import kotlinx.serialization.Serializable

/** A data centre, located in [region]. */
@Serializable
public data class DataCentreSettings(val region: String)
