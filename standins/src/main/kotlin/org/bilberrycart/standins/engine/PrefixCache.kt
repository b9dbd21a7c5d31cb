package org.bilberrycart.standins.engine

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.bilberrycart.standins.http.LoadedModel

/**
 * The prefix blocks that an engine has computed, least recently used first.
 *
 * @property capacity how many blocks the cache holds.
 */
data class PrefixCache(val capacity: Int, val blocks: PersistentSet<Long> = persistentSetOf()) {
    /** Returns how many of the leading blocks of [blockHashes] are cached. */
    fun hits(blockHashes: List<Long>): Int = blockHashes.takeWhile { it in blocks }.size

    /** Returns this cache with the blocks of [blockHashes] as the most recently used ones. */
    fun touch(blockHashes: List<Long>): PrefixCache {
        val held = blockHashes.fold(blocks) { set, block -> set.remove(block).add(block) }
        return copy(blocks = held.trim(held.size - capacity))
    }

    private tailrec fun PersistentSet<Long>.trim(excess: Int): PersistentSet<Long> =
        if (excess <= 0) this else remove(first()).trim(excess - 1)

    companion object {
        /** The number of tokens in one block. */
        const val BLOCK_TOKENS = 16

        /** Returns the chained hashes of the full blocks of [tokens] under [model]. */
        fun blockHashes(model: LoadedModel, tokens: List<String>): List<Long> {
            val start = chainHash(0, "${model.model}/${model.adapter}/${model.version}")
            return tokens.runningFold(start, ::chainHash)
                .filterIndexed { i, _ -> i > 0 && i % BLOCK_TOKENS == 0 }
        }

        /** Splits [prompt] into the tokens that prefill computes. */
        fun promptTokens(prompt: String): List<String> =
            prompt.split(' ').filter { it.isNotEmpty() }
    }
}
