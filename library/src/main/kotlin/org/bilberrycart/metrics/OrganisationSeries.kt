package org.bilberrycart.metrics

import org.bilberrycart.model.OrganisationId

/** The series of a histogram that records the latencies of an organisation. */
public sealed class OrganisationSeries {
    /** The value of the label `organisation`. */
    public abstract val label: String

    /** The series of [organisation], which is among the largest. */
    public data class Named(val organisation: OrganisationId) : OrganisationSeries() {
        override val label: String get() = organisation.value
    }

    /** The series shared by all other organisations; its label is not a valid organisation id. */
    public data object Others : OrganisationSeries() {
        override val label: String get() = "(other)"
    }
}
