package org.bilberrycart.store

/**
 * Limits retries to a tenth of the calls, so that retries cannot multiply an overload.
 *
 * @property balance the number of retries that may be made now.
 */
public data class StoreRetryBudget(val balance: Double = MAX_BALANCE) {
    /** Returns the budget after a new call, which adds to the balance. */
    public fun deposit(): StoreRetryBudget =
        StoreRetryBudget(minOf(MAX_BALANCE, balance + RETRY_SHARE))

    /** Returns the budget after one retry, or null if the balance allows none. */
    public fun withdraw(): StoreRetryBudget? =
        if (balance < 1) null else StoreRetryBudget(balance - 1)

    private companion object {
        const val RETRY_SHARE = 0.1
        const val MAX_BALANCE = 10.0
    }
}
