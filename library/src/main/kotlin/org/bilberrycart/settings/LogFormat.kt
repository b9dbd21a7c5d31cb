package org.bilberrycart.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The form of log lines. */
@Serializable
public enum class LogFormat {
    /** `event=name key=value`. */
    @SerialName("keyValue")
    KEY_VALUE,

    /** One JSON object a line. */
    @SerialName("json")
    JSON,
}
