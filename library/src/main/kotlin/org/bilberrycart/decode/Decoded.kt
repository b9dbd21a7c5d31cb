package org.bilberrycart.decode

import org.bilberrycart.model.ResultCode

/** The result of decoding or validating the input of a caller. */
public sealed class Decoded<out T> {
    /** The input is valid and yields [value]. */
    public data class Valid<T>(val value: T) : Decoded<T>()

    /** The input is rejected with [code]; [detail] says what is wrong with it. */
    public data class Invalid(val code: ResultCode, val detail: String) : Decoded<Nothing>()
}

/** Applies [next] to a valid value; an invalid result is returned unchanged. */
public inline fun <T, R> Decoded<T>.then(next: (T) -> Decoded<R>): Decoded<R> = when (this) {
    is Decoded.Valid -> next(value)
    is Decoded.Invalid -> this
}
