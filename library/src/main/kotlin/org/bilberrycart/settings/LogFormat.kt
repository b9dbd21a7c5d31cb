package org.bilberrycart.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The format of log lines. */
@Serializable
public enum class LogFormat {
    /** Each line has the form `event=name key=value`. */
    @SerialName("keyValue")
    KEY_VALUE,

    /** Each line is a JSON object. */
    @SerialName("json")
    JSON,
}
