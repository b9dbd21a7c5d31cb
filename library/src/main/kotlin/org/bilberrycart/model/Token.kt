package org.bilberrycart.model

import kotlinx.serialization.Serializable

/** One token of a generation at its [index], counted from 0. */
@Serializable
public data class Token(val index: Int, val text: String)
