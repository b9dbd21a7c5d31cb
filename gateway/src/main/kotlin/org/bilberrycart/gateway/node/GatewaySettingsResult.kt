package org.bilberrycart.gateway.node

/** The result of reading a settings file. */
public sealed class GatewaySettingsResult {
    /** The file was read and its settings are valid. */
    public data class Read(val settings: GatewaySettings) : GatewaySettingsResult()

    /** The file can't be read or is not valid; [reason] names the file and the error. */
    public data class Unusable(val reason: String) : GatewaySettingsResult()
}
