package org.bilberrycart.gateway.peers

/**
 * What all peers of a node say, put together.
 *
 * @property loads their work at each upstream, by id.
 * @property lost how many milliseconds ago one of them lost each upstream.
 * @property strikes upstreams that broke off when they began a call, by its fingerprint.
 */
public data class ToldElsewhere(
    val loads: Map<String, Int> = emptyMap(),
    val lost: Map<String, Int> = emptyMap(),
    val strikes: Map<Long, Set<String>> = emptyMap(),
)
