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
 * The released part of one answer and the callers that read it.
 *
 * @property end the last part of the answer; null until the answer has ended.
 * @property cursors the position of each caller that reads the answer.
 * @property unreadSince when the last caller disconnected, or when the answer ended if a caller
 *   was still reading it then; null before.
 * @property isStopRequested whether the generation was asked to stop because no caller came back.
 */
internal data class Answer(
    val request: RequestId,
    val organisation: OrganisationId,
    val lineage: Lineage = Lineage.start(),
    val tokens: PersistentList<Token> = persistentListOf(),
    val end: AnswerPart? = null,
    val cursors: PersistentMap<CallerId, Cursor> = NO_CURSORS,
    val unreadSince: Duration? = null,
    val isStopRequested: Boolean = false,
) {
    companion object {
        val NO_CURSORS: PersistentMap<CallerId, Cursor> = persistentMapOf()
    }
}

/**
 * The position of one caller in an answer.
 *
 * @property next the index of the next token to deliver.
 * @property credit the number of parts that its outbox has room for.
 */
internal data class Cursor(val next: Int, val credit: Int)
