package org.bilberrycart.metrics

import org.bilberrycart.model.OrganisationId

/** The histograms that the waits of an organisation go to. */
public sealed class OrganisationSeries {
    /** The value of the label `organisation`. */
    public abstract val label: String

    /** The organisation is among the largest and has histograms of its own. */
    public data class Named(val organisation: OrganisationId) : OrganisationSeries() {
        override val label: String get() = organisation.value
    }

    /** All others share one series; no organisation can have this label as its id. */
    public data object Others : OrganisationSeries() {
        override val label: String get() = "(other)"
    }
}
