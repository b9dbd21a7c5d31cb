package org.bilberrycart.model

import kotlinx.serialization.Serializable

/** A token of a generation and its [index], starting at 0. */
@Serializable
public data class Token(val index: Int, val text: String)
