package org.bilberrycart.release

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.bilberrycart.model.RequestId

/** The answers of a release shard that callers read or may reconnect to. */
public class ReleaseState internal constructor(
    internal val answers: PersistentMap<RequestId, Answer>,
) {
    public constructor() : this(persistentMapOf())

    /** The number of answers held. */
    public val size: Int
        get() = answers.size

    internal fun put(answer: Answer): ReleaseState =
        ReleaseState(answers.put(answer.request, answer))

    internal fun remove(request: RequestId): ReleaseState = ReleaseState(answers.remove(request))
}
