package org.bilberrycart.model

import kotlinx.serialization.Serializable

/**
 * The sampling parameters of a generation; the same ones go with each attempt.
 *
 * @property maxTokens the largest number of tokens in the answer.
 */
@Serializable
public data class Sampling(
    val maxTokens: Int,
    val temperature: Double = 0.0,
    val topP: Double = 1.0,
    val seed: Long = 0,
)
