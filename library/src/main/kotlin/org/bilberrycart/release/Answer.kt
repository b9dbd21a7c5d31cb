package org.bilberrycart.release

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.Lineage
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.Token

/**
 * What was released of one answer, and who reads it.
 *
 * @property cursors the position of each caller that reads the answer.
 * @property unreadSince when the last caller went away; null while one reads.
 * @property isAbandoned whether the generation was asked to stop for want of a caller.
 */
internal data class Answer(
    val request: RequestId,
    val organisation: OrganisationId,
    val lineage: Lineage = Lineage.start(),
    val tokens: PersistentList<Token> = persistentListOf(),
    val end: AnswerPart? = null,
    val cursors: PersistentMap<CallerId, Cursor> = NO_CURSORS,
    val unreadSince: Duration? = null,
    val isAbandoned: Boolean = false,
) {
    companion object {
        val NO_CURSORS: PersistentMap<CallerId, Cursor> = persistentMapOf()
    }
}

/**
 * The position of one caller in an answer.
 *
 * @property next the index of the token that it gets next.
 * @property credit how many parts its outbox has room for.
 */
internal data class Cursor(val next: Int, val credit: Int)
