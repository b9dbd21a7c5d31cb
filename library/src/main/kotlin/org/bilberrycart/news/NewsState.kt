package org.bilberrycart.news

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.bilberrycart.membership.Member
import org.bilberrycart.membership.MemberRecord
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.VmId

/**
 * The news that one node knows.
 *
 * @property items the newest item of each subject.
 * @property reports the use that other nodes reported of the organisations added up here.
 */
public data class NewsState(
    val self: Member,
    val settings: NewsSettings = NewsSettings(),
    val seed: Long = self.vm.value.hashCode().toLong(),
    val members: PersistentMap<VmId, MemberRecord> = persistentHashMapOf(),
    val items: PersistentMap<NewsItem.Subject, Known> = persistentHashMapOf(),
    val reports: PersistentMap<OrganisationId, PersistentMap<VmId, Report>> =
        persistentHashMapOf(),
    val nextGossip: Duration = Duration.ZERO,
    val nextRepair: Duration = Duration.ZERO,
) {
    /** The other members that can answer. */
    public fun reachable(): List<Member> =
        members.values.filter { it.isReachable }.map { it.member }

    /** An [item], how often it was sent, and until when it is kept. */
    public data class Known(val item: NewsItem, val until: Duration, val sent: Int = 0)

    /** The [use] on one node, as it reported [at]. */
    public data class Report(val use: OrganisationUse, val at: Duration)
}
