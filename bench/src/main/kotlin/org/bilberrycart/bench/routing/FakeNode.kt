package org.bilberrycart.bench.routing

import org.bilberrycart.admission.AdmissionState
import org.bilberrycart.routing.RoutingState
import org.bilberrycart.suspect.SuspectState

/** The admission, suspect and routing state of one node. */
internal data class FakeNode(
    val admission: AdmissionState,
    val suspect: SuspectState,
    val routing: RoutingState,
)
