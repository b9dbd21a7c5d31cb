package org.bilberrycart.decode

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.bilberrycart.model.GenerationRequest
import org.bilberrycart.model.IdempotencyKey
import org.bilberrycart.model.ModelRef
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.RepeatMode
import org.bilberrycart.model.RequestClass
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.ResultCode
import org.bilberrycart.model.Sampling
import org.bilberrycart.model.ServiceCall
import org.bilberrycart.model.ServiceId
import org.bilberrycart.settings.FleetSettings
import org.bilberrycart.settings.ServiceSettings

/**
 * Authenticates callers and validates their requests against the configuration in force.
 *
 * It is independent of the encoding of requests.
 */
public class RequestChecker(private val fleet: FleetSettings) {
    /** Returns the organisation to which [credential] belongs if its key is right. */
    public fun authenticate(credential: Credential?): Decoded<OrganisationId> {
        val organisation = credential?.organisation
        val hash = organisation?.let { fleet.organisations[it]?.keyHash }
        val isValid = Digests.isKeyOf(credential?.key.orEmpty(), hash ?: UNMATCHABLE_HASH)
        return if (organisation != null && hash != null && isValid) {
            Decoded.Valid(organisation)
        } else {
            Decoded.Invalid(ResultCode.UNAUTHENTICATED, "Authorization: Bearer organisation:key")
        }
    }

    /** Validates a generation that [organisation] requested at [now], the node's monotonic time. */
    public fun generation(
        draft: GenerationDraft,
        organisation: OrganisationId,
        id: RequestId,
        now: Duration,
    ): Decoded<GenerationRequest> {
        val service = service(organisation, draft.service) as? ServiceSettings.Generation
            ?: return unknownService(draft.service)
        val model = ModelRef(draft.model, draft.adapter, draft.version)
        val error = generationError(draft, service, model)
        if (error != null) return error
        return deadline(draft.requestClass, draft.deadlineMillis, now).then { deadline ->
            Decoded.Valid(
                GenerationRequest(
                    id = id,
                    organisation = organisation,
                    service = draft.service,
                    requestClass = draft.requestClass,
                    fingerprint =
                    Digests.fingerprint(organisation, draft.service, "$model\n${draft.prompt}"),
                    arrivedAt = now,
                    deadline = deadline,
                    model = model,
                    prompt = draft.prompt,
                    sampling = draft.sampling(),
                ),
            )
        }
    }

    /**
     * Validates a call to a plain service that [organisation] requested at [now], the node's
     * monotonic time.
     */
    public fun call(
        draft: CallDraft,
        organisation: OrganisationId,
        id: RequestId,
        now: Duration,
    ): Decoded<ServiceCall> {
        val service = service(organisation, draft.service) as? ServiceSettings.Plain
            ?: return unknownService(draft.service)
        val error = callError(draft, service)
        if (error != null) return error
        val requestClass = if (draft.isAction) RequestClass.ACTION else RequestClass.CHECK
        return deadline(requestClass, draft.deadlineMillis, now).then { deadline ->
            Decoded.Valid(
                ServiceCall(
                    id = id,
                    organisation = organisation,
                    service = draft.service,
                    requestClass = requestClass,
                    fingerprint = Digests.fingerprint(
                        organisation,
                        draft.service,
                        "${draft.operation}\n${draft.body}",
                    ),
                    arrivedAt = now,
                    deadline = deadline,
                    operation = draft.operation,
                    body = draft.body,
                    repeatMode = service.repeatMode,
                    key = draft.key?.let(::IdempotencyKey),
                ),
            )
        }
    }

    private fun service(organisation: OrganisationId, service: ServiceId): ServiceSettings? =
        if (service in fleet.servicesOf(organisation)) fleet.services[service] else null

    private fun generationError(
        draft: GenerationDraft,
        service: ServiceSettings.Generation,
        model: ModelRef,
    ): Decoded.Invalid? = when {
        model !in service.models -> Decoded.Invalid(ResultCode.UNKNOWN_MODEL, "$model")
        draft.prompt.length > service.promptLimit -> Decoded.Invalid(
            ResultCode.PROMPT_TOO_LONG,
            "${draft.prompt.length} characters of at most ${service.promptLimit}",
        )
        draft.maxTokens !in 1..service.tokenLimit -> Decoded.Invalid(
            ResultCode.BAD_SAMPLING,
            "maxTokens ${draft.maxTokens}, expected 1 to ${service.tokenLimit}",
        )
        draft.temperature !in 0.0..MAX_TEMPERATURE -> Decoded.Invalid(
            ResultCode.BAD_SAMPLING,
            "temperature ${draft.temperature}, expected 0 to $MAX_TEMPERATURE",
        )
        draft.topP !in 0.0..1.0 ->
            Decoded.Invalid(ResultCode.BAD_SAMPLING, "topP ${draft.topP}, expected 0 to 1")
        else -> null
    }

    private fun callError(draft: CallDraft, service: ServiceSettings.Plain): Decoded.Invalid? {
        val key = draft.key
        return when {
            !OPERATION_PATTERN.matches(draft.operation) ->
                Decoded.Invalid(ResultCode.UNKNOWN_SERVICE, "operation ${draft.operation}")
            key != null && !KEY_PATTERN.matches(key) ->
                Decoded.Invalid(ResultCode.BAD_KEY, "expected 1 to 128 printable characters")
            key == null && service.repeatMode == RepeatMode.NEVER ->
                Decoded.Invalid(ResultCode.KEY_REQUIRED, "Idempotency-Key")
            else -> null
        }
    }

    private fun deadline(
        requestClass: RequestClass,
        millis: Long?,
        now: Duration,
    ): Decoded<Duration> {
        val settings = fleet.classSettings(requestClass)
        val timeLimit = millis?.milliseconds ?: settings.deadline
        return if (timeLimit.isPositive() && timeLimit <= settings.longestDeadline) {
            Decoded.Valid(now + timeLimit)
        } else {
            Decoded.Invalid(
                ResultCode.BAD_DEADLINE,
                "$millis ms, expected 1 to ${settings.longestDeadline.inWholeMilliseconds}",
            )
        }
    }

    private fun GenerationDraft.sampling() =
        Sampling(maxTokens = maxTokens, temperature = temperature, topP = topP, seed = seed)

    private fun unknownService(service: ServiceId): Decoded.Invalid =
        Decoded.Invalid(ResultCode.UNKNOWN_SERVICE, "$service")

    private companion object {
        const val MAX_TEMPERATURE = 2.0

        /**
         * Compared with the digest of the key if the organisation is unknown, so that every
         * credential goes through the comparison. No SHA-256 digest equals it.
         */
        const val UNMATCHABLE_HASH = "unknown"
        val OPERATION_PATTERN = Regex("[A-Za-z0-9_-]{1,64}")
        val KEY_PATTERN = Regex("[\\x21-\\x7e]{1,128}")
    }
}
