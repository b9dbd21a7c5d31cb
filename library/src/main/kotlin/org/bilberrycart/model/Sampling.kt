package org.bilberrycart.model

import kotlinx.serialization.Serializable

/**
 * The sampling parameters of a generation, sent unchanged with each of its attempts.
 *
 * @property maxTokens the maximum number of tokens in the answer.
 * @property topP the cumulative probability of the tokens to sample from.
 * @property seed the seed of the engine's random number generator.
 */
@Serializable
public data class Sampling(
    val maxTokens: Int,
    val temperature: Double = 0.0,
    val topP: Double = 1.0,
    val seed: Long = 0,
)
