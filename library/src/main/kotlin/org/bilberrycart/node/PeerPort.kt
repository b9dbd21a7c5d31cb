package org.bilberrycart.node

import org.bilberrycart.membership.Member
import org.bilberrycart.peer.LinksEvent
import org.bilberrycart.pipeline.Sink

/** The links to other nodes: [self] is this node as they know it; [links] takes what to send. */
public class PeerPort(public val self: Member, public val links: Sink<LinksEvent>)
