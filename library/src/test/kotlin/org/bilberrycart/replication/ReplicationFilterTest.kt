package org.bilberrycart.replication

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentHashMapOf
import org.bilberrycart.membership.Member
import org.bilberrycart.membership.MemberRecord
import org.bilberrycart.membership.MemberStatus
import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.DataCentreId
import org.bilberrycart.model.EventId
import org.bilberrycart.model.Fingerprint
import org.bilberrycart.model.FinishReason
import org.bilberrycart.model.GenerationRequest
import org.bilberrycart.model.Lineage
import org.bilberrycart.model.ModelRef
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.RequestClass
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.ResultCode
import org.bilberrycart.model.Sampling
import org.bilberrycart.model.ServiceId
import org.bilberrycart.model.Token
import org.bilberrycart.model.VmId
import org.bilberrycart.pipeline.Step
import org.bilberrycart.takeover.TakeoverMessage

private val ID = RequestId("r1")
private val CLUB = OrganisationId("club")
private val OWNER = member(1, "dc1")
private val SAME_CENTRE = member(2, "dc1")
private val REMOTE = member(3, "dc2")
private val CLAIMANT = member(4, "dc3")
private val KEY = ReplicaKey(ID, epoch = 1, term = 1)

private fun member(number: Int, centre: String) =
    Member(VmId("vm$number"), "127.0.0.1", number, DataCentreId(centre))

private val GENERATION = GenerationRequest(
    id = ID,
    organisation = CLUB,
    service = ServiceId("drafts"),
    requestClass = RequestClass.LONG_DRAFT,
    fingerprint = Fingerprint("f"),
    arrivedAt = Duration.ZERO,
    deadline = 60.seconds,
    model = ModelRef("model"),
    prompt = "prompt",
    sampling = Sampling(maxTokens = 10),
)

/** A replication shard together with the actions that its last event led to. */
private data class Shard(
    val state: ReplicationState,
    val now: Duration = Duration.ZERO,
    val actions: List<ReplicationAction> = emptyList(),
) {
    fun on(event: ReplicationEvent, after: Duration = 10.milliseconds): Shard {
        val step: Step<ReplicationState, ReplicationAction> =
            ReplicationFilter().step(state, event, now + after)
        return Shard(step.state, now + after, step.actions)
    }

    fun from(member: Member, vararg messages: ReplicationMessage) =
        on(ReplicationEvent.Received(member, messages.toList()))

    fun tickUntilAction(time: Duration): Shard = generateSequence(tick()) { it.tick() }
        .first { it.now >= now + time || it.actions.isNotEmpty() }

    private fun tick(): Shard = on(ReplicationEvent.Tick, 50.milliseconds)

    val released: List<Int>
        get() = actions.filterIsInstance<ReplicationAction.Release>()
            .flatMap { it.tokens }.map { it.index }

    val sent: List<ReplicationMessage>
        get() = actions.filterIsInstance<ReplicationAction.Send>().flatMap { it.messages }
}

private fun shard(
    self: Member,
    vararg peers: Member,
    policy: ReplicationPolicy = ReplicationPolicy.Preferred,
): Shard {
    val members = peers.associate { it.vm to MemberRecord(it, 1) }
    return Shard(
        ReplicationState(
            self,
            ReplicationSettings(defaultPolicy = policy),
            members = persistentHashMapOf<VmId, MemberRecord>().putAll(members),
        ),
    )
}

private fun owner(vararg peers: Member, policy: ReplicationPolicy = ReplicationPolicy.Preferred) =
    shard(OWNER, *peers, policy = policy).on(ReplicationEvent.Began(GENERATION, 1))

private fun append(index: Int) = ReplicationEvent.Appended(ID, 1, Token(index, "t$index"))

private fun dead(member: Member) =
    ReplicationEvent.MemberChanged(MemberRecord(member, 1, MemberStatus.DEAD))

private fun holder(vararg texts: String): Shard = shard(REMOTE, OWNER, CLAIMANT).from(
    OWNER,
    ReplicationMessage.Store(
        KEY,
        GenerationRecord.of(GENERATION, Duration.ZERO),
        Lineage.start(),
        texts.toList(),
        place = null,
        end = null,
    ),
)

private fun claim(after: EventId? = null, organisation: OrganisationId = CLUB) =
    ReplicationMessage.Claim(ID, claim = 7, organisation, after)

private data class HolderCase(val peers: List<Member>, val holder: Member?) : WithDataTestName {
    override fun dataTestName() = "peers ${peers.map { it.vm }}: holder ${holder?.vm}"
}

private data class PolicyCase(val policy: ReplicationPolicy, val released: List<Int>) :
    WithDataTestName {
    override fun dataTestName() = policy.toString()
}

private data class VerdictCase(val verdict: Verdict, val isFenced: Boolean) : WithDataTestName {
    override fun dataTestName() = verdict.toString()
}

private data class RefusalCase(
    val name: String,
    val claim: ReplicationMessage.Claim,
    val answer: TakeoverMessage,
) : WithDataTestName {
    override fun dataTestName() = name
}

class ReplicationFilterTest :
    FunSpec({
        context("the holder is in another data centre if possible") {
            withData(
                HolderCase(listOf(SAME_CENTRE, REMOTE), REMOTE),
                HolderCase(listOf(SAME_CENTRE), SAME_CENTRE),
                HolderCase(emptyList(), null),
            ) { case ->
                val sends = owner(*case.peers.toTypedArray()).actions
                    .filterIsInstance<ReplicationAction.Send>()
                sends.singleOrNull()?.to shouldBe case.holder
            }
        }

        test("a token is released only after the holder has confirmed it") {
            val sent = owner(REMOTE).on(append(0)).on(append(1))
            sent.released shouldBe emptyList()
            val first = sent.from(REMOTE, ReplicationMessage.Acknowledge(KEY, 1, hasEnd = false))
            first.released shouldBe listOf(0)
            val again = first.from(REMOTE, ReplicationMessage.Acknowledge(KEY, 1, hasEnd = false))
            again.released shouldBe emptyList()
            val rest = again.from(REMOTE, ReplicationMessage.Acknowledge(KEY, 2, hasEnd = false))
            rest.released shouldBe listOf(1)
        }

        context("without a peer, the policy decides whether tokens are released") {
            withData(
                PolicyCase(ReplicationPolicy.Required(), emptyList()),
                PolicyCase(ReplicationPolicy.Preferred, listOf(0)),
                PolicyCase(ReplicationPolicy.Off, listOf(0)),
            ) { case -> owner(policy = case.policy).on(append(0)).released shouldBe case.released }
        }

        test("a generation that requires a replica fails with NO_REPLICA without a holder") {
            val policy = ReplicationPolicy.Required(holdLimit = 5.seconds)
            val ended = owner(policy = policy).on(append(0)).tickUntilAction(6.seconds)
            ended.actions.filterIsInstance<ReplicationAction.ReleaseEnd>().map { it.end } shouldBe
                listOf(AnswerPart.Failed(ResultCode.NO_REPLICA))
        }

        test("the end is released after the last confirmed token") {
            val end = AnswerPart.Finished(FinishReason.STOP, 1)
            val completed = owner(REMOTE).on(append(0)).on(ReplicationEvent.Completed(ID, 1, end))
            completed.actions.filterIsInstance<ReplicationAction.ReleaseEnd>() shouldBe emptyList()
            val acked = completed.from(
                REMOTE,
                ReplicationMessage.Acknowledge(KEY, 1, hasEnd = true),
            )
            acked.actions shouldBe listOf(
                ReplicationAction.Release(ID, 1, listOf(Token(0, "t0"))),
                ReplicationAction.ReleaseEnd(ID, 1, end),
            )
        }

        test("a batch that is not confirmed is sent again from the first missing token") {
            val lost = owner(REMOTE).on(append(0))
                .from(REMOTE, ReplicationMessage.Acknowledge(KEY, 1, hasEnd = false))
                .on(append(1)).tickUntilAction(900.milliseconds)
            val append = lost.sent.filterIsInstance<ReplicationMessage.Append>().single()
            append.from shouldBe 1
        }

        context("an owner that lost its holder goes on only if the table allows it") {
            withData(
                VerdictCase(Verdict.Switched(2, SAME_CENTRE.vm), isFenced = false),
                VerdictCase(Verdict.Claimed(REMOTE.vm), isFenced = true),
            ) { case ->
                val lost = owner(REMOTE, SAME_CENTRE).on(append(0)).on(dead(REMOTE))
                lost.actions shouldBe listOf(
                    ReplicationAction.Decide(KEY, Verdict.Switched(2, SAME_CENTRE.vm)),
                )
                val late = lost.from(REMOTE, ReplicationMessage.Acknowledge(KEY, 1, hasEnd = false))
                late.released shouldBe emptyList()
                val decided = late.on(ReplicationEvent.Decided(KEY, case.verdict))
                decided.state.isFenced(ID, 1) shouldBe case.isFenced
                val stored = decided.sent.filterIsInstance<ReplicationMessage.Store>()
                stored.flatMap { it.texts } shouldBe
                    if (case.isFenced) emptyList() else listOf("t0")
            }
        }

        test("a fenced owner releases nothing more and ends with FENCED") {
            val fenced = owner(REMOTE).on(append(0)).from(REMOTE, ReplicationMessage.Fence(KEY))
            fenced.actions shouldBe listOf(
                ReplicationAction.OwnershipLost(ID, 1),
                ReplicationAction.ReleaseEnd(ID, 1, AnswerPart.Failed(ResultCode.FENCED)),
            )
            fenced.from(REMOTE, ReplicationMessage.Acknowledge(KEY, 1, hasEnd = false))
                .released shouldBe emptyList()
        }

        test("a holder asks the owner to yield, and fences it after the grant") {
            val asked = holder("t0", "t1").from(CLAIMANT, claim())
            asked.sent shouldBe listOf(ReplicationMessage.Yield(KEY))
            val granted = asked.from(OWNER, ReplicationMessage.Yielded(KEY))
            val grant = granted.sent.single() as ReplicationMessage.Granted
            grant.key shouldBe ReplicaKey(ID, epoch = 2, term = 1)
            grant.texts shouldBe listOf("t0", "t1")
            val late = ReplicationMessage.Append(KEY, 2, listOf("t2"), place = null, end = null)
            granted.from(OWNER, late).sent shouldBe listOf(ReplicationMessage.Fence(KEY))
        }

        context("a holder whose owner does not answer lets the table decide") {
            withData(
                VerdictCase(Verdict.Claimed(REMOTE.vm), isFenced = true),
                VerdictCase(Verdict.Switched(2, SAME_CENTRE.vm), isFenced = false),
            ) { case ->
                val silent = holder("t0").from(CLAIMANT, claim()).tickUntilAction(1.seconds)
                silent.actions shouldBe
                    listOf(ReplicationAction.Decide(KEY, Verdict.Claimed(REMOTE.vm)))
                val decided = silent.on(ReplicationEvent.Decided(KEY, case.verdict))
                decided.sent.filterIsInstance<ReplicationMessage.Granted>().size shouldBe
                    if (case.isFenced) 1 else 0
            }
        }

        context("a claim is refused or reported as ahead of the replica") {
            withData(
                RefusalCase(
                    "of another organisation",
                    claim(organisation = OrganisationId("other")),
                    TakeoverMessage.Refused(ID, 7, ResultCode.NOT_FOUND.number),
                ),
                RefusalCase(
                    "from a caller that has received more than the replica has",
                    claim(after = EventId(ID, 1, 5)),
                    TakeoverMessage.ReplicaBehind(ID, 7),
                ),
                RefusalCase(
                    "from a caller with an epoch that never existed",
                    claim(after = EventId(ID, 0, 0)),
                    TakeoverMessage.Refused(ID, 7, ResultCode.LINEAGE_MISMATCH.number),
                ),
            ) { case ->
                holder("t0").from(CLAIMANT, case.claim).actions shouldBe
                    listOf(ReplicationAction.Answer(CLAIMANT, case.answer))
            }
        }

        test("a leaving node hands over a generation once its holder has all of it") {
            val running = owner(REMOTE).on(append(0))
            val waiting = running.on(ReplicationEvent.HandOver)
            waiting.actions shouldBe emptyList()
            val acked = waiting.from(REMOTE, ReplicationMessage.Acknowledge(KEY, 1, hasEnd = false))
            acked.released shouldBe listOf(0)
            acked.sent shouldBe listOf(ReplicationMessage.Yielded(KEY))
            acked.state.owned.size shouldBe 0
        }
    })
