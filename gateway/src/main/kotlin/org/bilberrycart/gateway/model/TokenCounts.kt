package org.bilberrycart.gateway.model

/** The declared size of a generation: tokens of the [prompt] and at most of the [output]. */
public data class TokenCounts(val prompt: Int, val output: Int)
