package org.bilberrycart.metrics

/**
 * A time that callers feel, measured for each organisation and class.
 *
 * @property metric the name of its histogram, in seconds.
 * @property help its description for the scraper.
 */
public enum class Measure(public val metric: String, public val help: String) {
    /** From the arrival of the request to its first token. */
    FIRST_TOKEN("bilberrycart_first_token_seconds", "Wait for the first token."),

    /** From one token to the next. */
    INTER_TOKEN("bilberrycart_inter_token_seconds", "Wait between two tokens."),

    /** From the last token before a loss to the first after it. */
    RESUME("bilberrycart_resume_seconds", "Wait for the token after a lost upstream."),

    /** From the arrival of the request to the end of its answer. */
    WHOLE_ANSWER("bilberrycart_whole_answer_seconds", "Time for the whole answer."),
}
