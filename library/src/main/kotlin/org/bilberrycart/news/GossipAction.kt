package org.bilberrycart.news

import org.bilberrycart.membership.Member
import org.bilberrycart.model.Fingerprint
import org.bilberrycart.model.UpstreamId

/** An output of [GossipFilter]. */
public sealed class GossipAction {
    /** Send [message] to [to]; delivery is not guaranteed. */
    public data class Send(val to: Member, val message: GossipPayload) : GossipAction()

    /** Another node reported that [upstream] leaves in this [incarnation]. */
    public data class UpstreamLeaving(val upstream: UpstreamId, val incarnation: Long) :
        GossipAction()

    /** Requests of [fingerprint] crashed [engines] engines, summed over all nodes. */
    public data class Crashes(val fingerprint: Fingerprint, val engines: Int) : GossipAction()

    /** Another node applies the configuration [version]. */
    public data class NewerConfiguration(val version: Long) : GossipAction()

    /** The usage of an organisation, summed over all nodes. */
    public data class FleetUsage(val usage: OrganisationUsage) : GossipAction()
}
