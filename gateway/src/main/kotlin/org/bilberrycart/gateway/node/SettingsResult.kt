package org.bilberrycart.gateway.node

/** The result of reading a settings file. */
public sealed class SettingsResult {
    /** The settings can be used. */
    public data class Read(val settings: GatewaySettings) : SettingsResult()

    /** The file is missing or wrong, as [reason] says. */
    public data class Unusable(val reason: String) : SettingsResult()
}
