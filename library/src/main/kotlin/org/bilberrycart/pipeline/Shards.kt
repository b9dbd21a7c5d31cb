package org.bilberrycart.pipeline

import org.bilberrycart.model.RequestId

/** The rings of [count] duties of one kind; all events of a request go to the same ring. */
public class Shards<T : Any>(name: String, count: Int, capacity: Int, reserve: Int = 0) {
    /** The ring of each shard. */
    public val rings: List<Ring<T>> = List(count) { Ring("$name-$it", capacity, reserve) }

    /** Returns the ring of the shard that handles [request]. */
    public fun of(request: RequestId): Ring<T> = rings[indexOf(request)]

    /** Returns the index of the shard that handles [request]. */
    public fun indexOf(request: RequestId): Int =
        Math.floorMod(request.value.hashCode(), rings.size)
}
