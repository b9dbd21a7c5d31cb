package org.bilberrycart.node

import org.bilberrycart.dispatch.DispatchAction
import org.bilberrycart.dispatch.DispatchEvent
import org.bilberrycart.dispatch.DispatchFilter
import org.bilberrycart.dispatch.DispatchState
import org.bilberrycart.journal.JournalAction
import org.bilberrycart.journal.JournalEvent
import org.bilberrycart.journal.JournalFilter
import org.bilberrycart.journal.JournalState
import org.bilberrycart.pipeline.Filter

/** The decisions of a [Pipeline] that a test may replace by faulty ones, to try its checks. */
public class PipelineFilters(
    public val journal: Filter<JournalState, JournalEvent, JournalAction> = JournalFilter(),
    public val dispatch: Filter<DispatchState, DispatchEvent, DispatchAction> = DispatchFilter(),
)
