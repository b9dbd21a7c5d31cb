package org.bilberrycart.bench.processes

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf

/**
 * The observations of a run so far.
 *
 * @property whole the number of answers, look-ups and actions that reached their end.
 * @property faults the number of faults that began, by the fault's name.
 * @property refused the number of refusals, by result code.
 * @property resumeTimes the times from the kill of a node to the next token of its callers.
 * @property histories the results of all attempts of each ended action, by idempotency key.
 * @property executions the executions that the service counted, by idempotency key.
 */
data class ProcessRunState(
    val requests: Long = 0,
    val actions: Long = 0,
    val tokens: Long = 0,
    val reconnects: Long = 0,
    val whole: Long = 0,
    val faults: PersistentMap<String, Int> = persistentMapOf(),
    val refused: PersistentMap<Int, Int> = persistentMapOf(),
    val resumeTimes: PersistentList<Duration> = persistentListOf(),
    val histories: PersistentMap<String, List<ActionAttempt>> = persistentMapOf(),
    val executions: PersistentMap<String, Int> = persistentMapOf(),
    val violations: PersistentList<String> = persistentListOf(),
)
