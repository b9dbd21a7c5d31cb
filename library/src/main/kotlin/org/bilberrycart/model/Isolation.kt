package org.bilberrycart.model

/** How far a placement keeps away from other work, since it may crash its upstream. */
public enum class Isolation {
    /** It runs beside any other work. */
    NONE,

    /** It runs beside as few other suspects as possible. */
    APART,

    /** Nothing else runs on its upstream. */
    ALONE,
}
