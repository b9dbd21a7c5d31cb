package org.bilberrycart.standins.engine

import kotlinx.serialization.Serializable

/**
 * What an engine has done since it was made; restarts keep them.
 *
 * @property tokens tokens decoded.
 * @property prefillTokens prompt and prefix tokens computed, cached ones not counted.
 * @property resumePrefillTokens the part of [prefillTokens] for streams accepted with a prefix.
 * @property cachedTokens prompt and prefix tokens that the cache saved.
 * @property streams streams accepted.
 * @property resumed streams accepted with a prefix.
 * @property wrongPrefixes streams whose prefix was not of their own generation.
 * @property cancelled streams cancelled by a caller.
 * @property abandoned streams ended because nobody read them.
 * @property lost streams that ran or waited when the engine died.
 * @property crashes deaths by a prompt.
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
