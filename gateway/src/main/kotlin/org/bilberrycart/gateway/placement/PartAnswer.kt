package org.bilberrycart.gateway.placement

import kotlin.time.Duration

/** The latest answer to a prompt with some part; [isOwn] if this node received it. */
public data class PartAnswer(val at: Duration, val isOwn: Boolean)
