package org.bilberrycart.settings

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.bilberrycart.journal.ResumePolicy
import org.bilberrycart.model.ModelRef
import org.bilberrycart.model.RepeatMode
import org.bilberrycart.routing.RoutingPolicy

/** The settings of a service that callers address. */
@Serializable
public sealed class ServiceSettings {
    /** How an upstream is selected for a request. */
    public abstract val routing: RoutingPolicy

    /**
     * A service whose answers model engines generate.
     *
     * @property models the models that callers may request.
     * @property promptLimit the maximum length of a prompt, in characters.
     * @property tokenLimit the maximum length of an answer, in tokens.
     * @property silenceFloor the lower bound of the silence between two tokens that leads to a
     *   probe.
     * @property silenceCap the upper bound of the silence between two tokens that leads to a probe.
     * @property reserveShare the share of the slots reserved for short questions and resumed
     *   generations.
     * @property replica how tokens are treated while no replica holder confirms them.
     * @property reconnectGrace how long a generation continues after its caller disconnects.
     * @property attemptLimit the maximum number of engines that a generation may lose.
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
     * A service whose calls are forwarded to upstreams as they are.
     *
     * @property repeatMode whether and how calls may be retried.
     * @property callTimeout the maximum duration of a call.
     * @property attemptLimit the maximum number of attempts of a call that may be retried.
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
