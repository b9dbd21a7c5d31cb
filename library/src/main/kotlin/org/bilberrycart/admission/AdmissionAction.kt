package org.bilberrycart.admission

import kotlin.time.Duration
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.Request
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.ResultCode

/** An output of the admission duty. */
public sealed class AdmissionAction {
    /** Pass [request] on to the next filter. */
    public data class Admit(val request: Request) : AdmissionAction()

    /** Tell the other nodes the usage of each organisation that has work on this node. */
    public data class ReportUsage(val usage: Map<OrganisationId, Usage>) : AdmissionAction()

    /**
     * Refuse [request] with [code]; no part of it ran.
     *
     * @property retryAfter when the caller should try again; null if a retry is of no use.
     */
    public data class Refuse(
        val request: RequestId,
        val code: ResultCode,
        val retryAfter: Duration? = null,
    ) : AdmissionAction()
}
