package org.bilberrycart.membership

/** What the membership duty reacts to. */
public sealed class MembershipEvent {
    /** [message] came over the link of [from], which proved its identity. */
    public data class Received(val from: Member, val message: MembershipMessage) :
        MembershipEvent()

    /** A link to [member] is up. */
    public data class Met(val member: Member) : MembershipEvent()

    /** First addresses from the settings or from the platform's list, which lags. */
    public data class Discovered(val addresses: List<PeerAddress>) : MembershipEvent()

    /** This node drains: it keeps answering, and takes no new work and no new replicas. */
    public data object Leave : MembershipEvent()

    /** This node is about to end; the others need not suspect it. */
    public data object Left : MembershipEvent()

    /** Time has passed; wanted every [MembershipSettings.tickPeriod]. */
    public data object Tick : MembershipEvent()
}
