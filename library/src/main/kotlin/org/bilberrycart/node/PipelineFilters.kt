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

/**
 * The filters of a [Pipeline] that can be replaced.
 *
 * A test replaces them with faulty ones to verify that its checks detect the fault.
 */
public class PipelineFilters(
    public val journal: Filter<JournalState, JournalEvent, JournalAction> = JournalFilter(),
    public val dispatch: Filter<DispatchState, DispatchEvent, DispatchAction> = DispatchFilter(),
)
