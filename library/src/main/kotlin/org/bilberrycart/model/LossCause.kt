package org.bilberrycart.model

/** How an attempt was lost. */
public enum class LossCause {
    /** The connection was reset or refused. */
    RESET,

    /** The stream ended before its finish event. */
    ENDED_EARLY,

    /** No token came within the adaptive limit and the engine did not answer a probe. */
    SILENT,

    /** The platform or a peer reports the upstream gone. */
    GONE,

    /** The upstream refused the work, such as for want of a free slot. */
    REFUSED,

    /** The upstream broke its protocol, such as by a wrong token index. */
    PROTOCOL,

    /** The deadline passed before the work was sent. */
    DEADLINE,
}
