package org.bilberrycart.admission

import kotlin.time.Duration
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.Request
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.ResultCode

/** What the admission duty asks for. */
public sealed class AdmissionAction {
    /** Pass [request] on to the next filter. */
    public data class Admit(val request: Request) : AdmissionAction()

    /** Tell the other nodes what the organisations with work here use. */
    public data class ReportUse(val uses: Map<OrganisationId, Usage>) : AdmissionAction()

    /** Answer the request with [code]; nothing of it ran. */
    public data class Refuse(
        val request: RequestId,
        val code: ResultCode,
        val retryAfter: Duration? = null,
    ) : AdmissionAction()
}
