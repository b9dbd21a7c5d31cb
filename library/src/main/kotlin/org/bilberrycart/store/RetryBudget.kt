package org.bilberrycart.store

/**
 * Limits retries to a share of the calls, so that retries cannot multiply an overload.
 *
 * @property balance retries that may be made now.
 */
public data class RetryBudget(val balance: Double = MAX_BALANCE) {
    /** Returns the budget after a first call. */
    public fun deposit(): RetryBudget = RetryBudget(minOf(MAX_BALANCE, balance + RETRY_SHARE))

    /** Returns the budget after one retry, or null if it allows none. */
    public fun withdraw(): RetryBudget? = if (balance < 1) null else RetryBudget(balance - 1)

    private companion object {
        const val RETRY_SHARE = 0.1
        const val MAX_BALANCE = 10.0
    }
}
