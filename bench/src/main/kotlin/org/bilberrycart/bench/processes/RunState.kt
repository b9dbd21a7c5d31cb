package org.bilberrycart.bench.processes

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf

/**
 * What a run saw so far.
 *
 * @property faults how often each fault was brought about.
 * @property refused refusals by result code.
 * @property histories the attempts of each finished action, by key.
 * @property executions the executions counted at the service, by key.
 */
data class RunState(
    val requests: Long = 0,
    val actions: Long = 0,
    val tokens: Long = 0,
    val reconnects: Long = 0,
    val whole: Long = 0,
    val faults: PersistentMap<String, Int> = persistentMapOf(),
    val refused: PersistentMap<Int, Int> = persistentMapOf(),
    val resumeWaits: PersistentList<Duration> = persistentListOf(),
    val histories: PersistentMap<String, List<ActionAttempt>> = persistentMapOf(),
    val executions: PersistentMap<String, Int> = persistentMapOf(),
    val violations: PersistentList<String> = persistentListOf(),
)
