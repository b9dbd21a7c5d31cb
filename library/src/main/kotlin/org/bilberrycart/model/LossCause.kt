package org.bilberrycart.model

/** Why an attempt was lost. */
public enum class LossCause {
    /** The connection was reset or refused. */
    RESET,

    /** The stream ended before its finish event. */
    ENDED_EARLY,

    /** No token arrived within the adaptive timeout, and the engine did not answer a probe. */
    SILENT,

    /** The platform or a peer reported the upstream as gone. */
    GONE,

    /** The upstream refused the work, for example because it had no free slot. */
    REFUSED,

    /** The upstream violated its protocol, for example by sending a wrong token index. */
    PROTOCOL,

    /** The deadline passed before the work was sent. */
    DEADLINE,
}
