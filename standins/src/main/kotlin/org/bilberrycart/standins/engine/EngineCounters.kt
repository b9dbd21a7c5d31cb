package org.bilberrycart.standins.engine

import kotlinx.serialization.Serializable

/**
 * Counts of what an engine has done since it was created; they survive restarts.
 *
 * @property tokens tokens decoded.
 * @property prefillTokens prompt and prefix tokens computed, cached ones not counted.
 * @property resumePrefillTokens the part of [prefillTokens] for streams accepted with a prefix.
 * @property cachedTokens prompt and prefix tokens found in the cache and not computed.
 * @property streams streams accepted.
 * @property resumed streams accepted with a prefix.
 * @property wrongPrefixes streams accepted with a prefix of another generation.
 * @property cancelled streams cancelled by a caller.
 * @property abandoned streams ended because they had no reader for too long.
 * @property lost streams that ran or waited when the engine died.
 * @property crashes how often a prompt killed the engine.
 */
@Serializable
data class EngineCounters(
    val tokens: Long = 0,
    val prefillTokens: Long = 0,
    val resumePrefillTokens: Long = 0,
    val cachedTokens: Long = 0,
    val streams: Long = 0,
    val resumed: Long = 0,
    val wrongPrefixes: Long = 0,
    val finished: Long = 0,
    val cancelled: Long = 0,
    val abandoned: Long = 0,
    val lost: Long = 0,
    val crashes: Long = 0,
)
