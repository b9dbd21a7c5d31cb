package org.bilberrycart.membership

/** An input of [MembershipFilter]. */
public sealed class MembershipEvent {
    /** [message] arrived over the link of [from], which is authenticated. */
    public data class Received(val from: Member, val message: MembershipMessage) :
        MembershipEvent()

    /** A link to [member] was established. */
    public data class Connected(val member: Member) : MembershipEvent()

    /** The settings or the platform's list, which may be outdated, named these [addresses]. */
    public data class Discovered(val addresses: List<PeerAddress>) : MembershipEvent()

    /** This node drains: it still answers, but accepts no new work and no new replicas. */
    public data object DrainStarted : MembershipEvent()

    /** This node is about to stop and announces it, so that the others need not suspect it. */
    public data object Stopping : MembershipEvent()

    /** Time has passed; expected every [MembershipSettings.tickInterval]. */
    public data object Tick : MembershipEvent()
}
