package org.bilberrycart.replication

import org.bilberrycart.membership.Member
import org.bilberrycart.membership.SeededRandom
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.VmId

/** Ranks members for a request by rendezvous hashing, so that nodes agree without a directory. */
internal object RendezvousRanking {
    private const val FNV_OFFSET = -0x340d631b7bdddcdbL
    private const val FNV_PRIME = 0x100000001b3L

    /** Returns [members] in order of falling score for [request]. */
    fun rank(request: RequestId, members: List<Member>): List<Member> {
        val hash = hash(request.value)
        return members.sortedByDescending { score(hash, it.vm) }
    }

    /** Returns the member with the highest score; [members] must not be empty. */
    fun best(request: RequestId, members: List<Member>): Member {
        val hash = hash(request.value)
        return members.maxBy { score(hash, it.vm) }
    }

    private fun score(hash: Long, vm: VmId): Long =
        SeededRandom.mix(hash xor SeededRandom.mix(hash(vm.value)))

    private fun hash(text: String): Long =
        text.fold(FNV_OFFSET) { hash, char -> (hash xor char.code.toLong()) * FNV_PRIME }
}
