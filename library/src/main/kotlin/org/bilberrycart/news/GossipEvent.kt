package org.bilberrycart.news

import org.bilberrycart.membership.Member
import org.bilberrycart.membership.MemberRecord
import org.bilberrycart.model.Fingerprint
import org.bilberrycart.model.UpstreamId

/** An input of [GossipFilter]. */
public sealed class GossipEvent {
    /** This node learned that [upstream] leaves in this [incarnation]. */
    public data class UpstreamLeaving(val upstream: UpstreamId, val incarnation: Long) :
        GossipEvent()

    /** A request of [fingerprint] that this node handled lost its engine. */
    public data class EngineLost(val fingerprint: Fingerprint) : GossipEvent()

    /** This node now applies the configuration [version]. */
    public data class ConfigurationAdopted(val version: Long) : GossipEvent()

    /** The usage of the organisations that were active on this node since the last report. */
    public data class UsageMeasured(val usages: List<OrganisationUsage>) : GossipEvent()

    /** [message] arrived from [from]. */
    public data class Received(val from: Member, val message: GossipPayload) : GossipEvent()

    /** The current record of a member changed to [record]. */
    public data class MemberChanged(val record: MemberRecord) : GossipEvent()

    /** Time has passed. */
    public data object Tick : GossipEvent()
}
