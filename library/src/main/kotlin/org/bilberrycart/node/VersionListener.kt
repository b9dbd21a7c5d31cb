package org.bilberrycart.node

/** Listens for the configuration versions that other nodes have in force. */
public fun interface VersionListener {
    /** Another node announced that it has [version] in force. */
    public fun versionAnnounced(version: Long)
}
