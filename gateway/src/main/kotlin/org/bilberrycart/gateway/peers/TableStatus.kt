package org.bilberrycart.gateway.peers

import kotlin.time.Duration
import org.bilberrycart.gateway.discovery.TableEdition

/**
 * How current a node's copy of a table of the store is.
 *
 * @property table the name of the table, as in [GossipMessage.editions].
 * @property edition the newest edition that the node knows.
 * @property confirmedAt when the store last told the node that there is nothing newer.
 */
public data class TableStatus(
    val table: String,
    val edition: TableEdition,
    val confirmedAt: Duration?,
)
