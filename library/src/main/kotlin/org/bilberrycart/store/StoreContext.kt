package org.bilberrycart.store

/** Identifies a call to the store to the user that made it, and comes back with the result. */
public interface StoreContext
