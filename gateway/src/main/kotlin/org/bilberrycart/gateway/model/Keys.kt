package org.bilberrycart.gateway.model

/** The number that the node assigns to a call on arrival; unique within the process. */
@JvmInline
public value class CallKey(public val number: Long)

/** Identifies one dispatch of a call to an upstream; [number] counts from 1. */
public data class AttemptKey(val call: CallKey, val number: Int)

/** The id under which one incarnation of an upstream is registered. */
@JvmInline
public value class UpstreamId(public val value: String)

/** The id of one part of a prompt; the same part has the same id in all requests. */
@JvmInline
public value class PromptPartId(public val value: String)

/** The name of a service. */
@JvmInline
public value class ServiceName(public val value: String)
