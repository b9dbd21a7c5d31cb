package org.bilberrycart.news

import org.bilberrycart.membership.Member
import org.bilberrycart.model.Fingerprint
import org.bilberrycart.model.UpstreamId

/** What the news duty asks for. */
public sealed class NewsAction {
    /** Send [message] to [to]; it may be lost. */
    public data class Send(val to: Member, val message: NewsMessage) : NewsAction()

    /** Another node learned that [upstream] leaves. */
    public data class UpstreamLeaving(val upstream: UpstreamId, val incarnation: Long) :
        NewsAction()

    /** Requests of [fingerprint] lost [engines] engines on all nodes together. */
    public data class Crashes(val fingerprint: Fingerprint, val engines: Int) : NewsAction()

    /** Another node has the configuration [version] in force. */
    public data class NewerConfiguration(val version: Long) : NewsAction()

    /** The use of an organisation on all nodes. */
    public data class FleetUse(val use: OrganisationUse) : NewsAction()
}
