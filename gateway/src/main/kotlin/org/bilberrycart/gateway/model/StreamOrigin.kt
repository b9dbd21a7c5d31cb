package org.bilberrycart.gateway.model

/**
 * Where a stream may go on.
 *
 * What upstreams of two software versions write doesn't fit together, so that a stream goes on only
 * at the version that sent its first event.
 */
public sealed class StreamOrigin {
    /** Returns whether the stream may be sent to an upstream of [softwareVersion]. */
    public fun allows(softwareVersion: String?): Boolean = when (this) {
        NotBegun -> true
        Sought -> false
        is BegunAt -> softwareVersion == this.softwareVersion
    }

    /** The caller has no event of it yet, so that it may begin at any upstream. */
    public data object NotBegun : StreamOrigin()

    /** Its caller resumes it, and it is not known yet at which version it began. */
    public data object Sought : StreamOrigin()

    /** Its first event came from an upstream of [softwareVersion]; null if that is unknown. */
    public data class BegunAt(val softwareVersion: String?) : StreamOrigin()
}
