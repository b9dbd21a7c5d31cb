package org.bilberrycart.node

import org.bilberrycart.membership.Member
import org.bilberrycart.peer.LinksEvent
import org.bilberrycart.pipeline.Sink

/**
 * The connection of a pipeline to other nodes.
 *
 * @property self this node as the other nodes know it.
 * @property links the sink for messages to other nodes.
 */
public class PeerPort(public val self: Member, public val links: Sink<LinksEvent>)
