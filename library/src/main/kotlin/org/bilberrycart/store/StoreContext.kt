package org.bilberrycart.store

/** What a user of the store wants back with the result; each user has its own typed contexts. */
public interface StoreContext
