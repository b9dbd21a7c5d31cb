package org.bilberrycart.store

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/** Writes that are applied together or not at all; a transaction may carry many groups. */
public data class WriteGroup(val writes: PersistentList<RowWrite>) {
    public companion object {
        /** Returns a group of [writes]. */
        public fun of(vararg writes: RowWrite): WriteGroup = WriteGroup(persistentListOf(*writes))
    }
}
