package org.bilberrycart.settings

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.bilberrycart.journal.ResumePolicy
import org.bilberrycart.model.ModelRef
import org.bilberrycart.model.RepeatMode
import org.bilberrycart.routing.RoutingPolicy

/** A service that callers address. */
@Serializable
public sealed class ServiceSettings {
    /** How the service chooses among its upstreams. */
    public abstract val routing: RoutingPolicy

    /**
     * A service whose answers model engines generate.
     *
     * @property models what callers may ask for.
     * @property promptLimit the longest prompt, in characters.
     * @property tokenLimit the longest answer, in tokens.
     * @property silenceFloor the shortest time without a token that counts as silence.
     * @property silenceCap the longest time without a token that does not count as silence.
     * @property reserveShare the share of the slots kept free for short questions and resumes.
     * @property replica what happens to tokens while no replica holder confirms them.
     * @property reconnectGrace how long a generation goes on without its caller.
     * @property attemptLimit the largest number of engines that one generation may lose.
     */
    @Serializable
    @SerialName("generation")
    public data class Generation(
        val models: SettingsSet<ModelRef>,
        override val routing: RoutingPolicy = RoutingPolicy.LeastOfRandom(),
        val resume: ResumePolicy = ResumePolicy.SingleEngine,
        @SerialName("promptLimitChars") val promptLimit: Int = 100_000,
        @SerialName("answerLimitTokens") val tokenLimit: Int = 16_384,
        @SerialName("silenceFloorMillis") val silenceFloor: Millis = 300.milliseconds,
        @SerialName("silenceCapMillis") val silenceCap: Millis = 3.seconds,
        val reserveShare: Double = 0.1,
        val replica: ReplicaPolicy = ReplicaPolicy.HOLD,
        @SerialName("reconnectGraceMillis") val reconnectGrace: Millis = 60.seconds,
        val attemptLimit: Int = 8,
    ) : ServiceSettings()

    /**
     * A plain service.
     *
     * @property repeatMode how its calls may be repeated.
     * @property callTimeout how long one call may take.
     * @property attemptLimit the largest number of times that a repeatable call is sent.
     */
    @Serializable
    @SerialName("plain")
    public data class Plain(
        val repeatMode: RepeatMode,
        override val routing: RoutingPolicy = RoutingPolicy.LeastOfRandom(),
        @SerialName("callTimeoutMillis") val callTimeout: Millis = 2.seconds,
        val attemptLimit: Int = 3,
    ) : ServiceSettings()
}
