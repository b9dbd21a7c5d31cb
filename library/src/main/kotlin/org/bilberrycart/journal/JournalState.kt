package org.bilberrycart.journal

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.bilberrycart.model.RequestId

/** The running generations of a journal shard. */
public class JournalState internal constructor(
    internal val generations: PersistentMap<RequestId, Generation>,
) {
    public constructor() : this(persistentMapOf())

    /** The number of running generations. */
    public val size: Int
        get() = generations.size

    internal fun put(generation: Generation): JournalState =
        JournalState(generations.put(generation.request.id, generation))

    internal fun remove(request: RequestId): JournalState =
        JournalState(generations.remove(request))
}
