package org.bilberrycart.gateway.records

/** The tables in which nodes keep what has to survive them. */
public enum class RecordTable {
    /** Where streams began. */
    STREAMS,

    /** Calls and prompt parts that crash upstreams. */
    CRASHES,
}
