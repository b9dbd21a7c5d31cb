package org.bilberrycart.node

/** Hears that another node has a configuration in force. */
public fun interface VersionListener {
    /** Another node has [version] in force. */
    public fun versionHeard(version: Long)
}
