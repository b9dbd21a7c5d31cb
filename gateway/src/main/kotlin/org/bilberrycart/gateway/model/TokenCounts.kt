package org.bilberrycart.gateway.model

/** The declared size of a generation: tokens in the [prompt], and at most in the [output]. */
public data class TokenCounts(val prompt: Int, val output: Int)
