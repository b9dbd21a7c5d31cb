package org.bilberrycart.journal

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.bilberrycart.model.RequestId

/** The state of a journal shard: the generations that run now. */
public class JournalState internal constructor(
    internal val generations: PersistentMap<RequestId, Generation>,
) {
    public constructor() : this(persistentMapOf())

    /** The number of generations that run. */
    public val size: Int
        get() = generations.size

    internal fun put(generation: Generation): JournalState =
        JournalState(generations.put(generation.request.id, generation))

    internal fun remove(request: RequestId): JournalState =
        JournalState(generations.remove(request))
}
