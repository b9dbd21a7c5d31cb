package org.bilberrycart.decode

import org.bilberrycart.model.ResultCode

/** The result of decoding and checking what a caller sent. */
public sealed class Decoded<out T> {
    /** The input is valid. */
    public data class Valid<T>(val value: T) : Decoded<T>()

    /** The input is refused with [code]; [detail] names the fault. */
    public data class Invalid(val code: ResultCode, val detail: String) : Decoded<Nothing>()
}

/** Continues with [next] on a valid value. */
public inline fun <T, R> Decoded<T>.then(next: (T) -> Decoded<R>): Decoded<R> = when (this) {
    is Decoded.Valid -> next(value)
    is Decoded.Invalid -> this
}
