package org.bilberrycart.replication

import kotlin.time.Duration
import kotlinx.collections.immutable.persistentListOf
import org.bilberrycart.pipeline.Filter
import org.bilberrycart.pipeline.Step

/** Releases each token at once: replication for a node that has no peers. */
public class SoloFilter : Filter<Unit, ReplicationEvent, ReplicationAction> {
    override fun step(
        state: Unit,
        event: ReplicationEvent,
        now: Duration,
    ): Step<Unit, ReplicationAction> = when (event) {
        is ReplicationEvent.Appended -> Step(
            Unit,
            persistentListOf(
                ReplicationAction.Release(event.request, event.epoch, listOf(event.token)),
            ),
        )
        is ReplicationEvent.Completed -> Step(
            Unit,
            persistentListOf(
                ReplicationAction.ReleaseEnd(event.request, event.epoch, event.end),
            ),
        )
        else -> Step(Unit)
    }
}
