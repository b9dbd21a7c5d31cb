package org.bilberrycart.metrics

/**
 * A latency that callers experience, measured for each organisation and request class.
 *
 * @property metric the name of the histogram, which is in seconds.
 * @property help the help text of the histogram.
 */
public enum class Measure(public val metric: String, public val help: String) {
    /** The time from the arrival of a request to its first token. */
    FIRST_TOKEN("bilberrycart_first_token_seconds", "Time until the first token."),

    /** The time from one token to the next. */
    INTER_TOKEN("bilberrycart_inter_token_seconds", "Time between two tokens."),

    /** The time from the last token before the loss of an upstream to the first one after it. */
    RESUME("bilberrycart_resume_seconds", "Time until the next token after an upstream loss."),

    /** The time from the arrival of a request to the end of its answer. */
    WHOLE_ANSWER("bilberrycart_whole_answer_seconds", "Time until the end of a complete answer."),
}
