package org.bilberrycart.model

/** How far work that may crash its upstream is kept apart from other work. */
public enum class Isolation {
    /** The work may share an upstream with any other work. */
    NONE,

    /** The work runs on an upstream with as few other suspect requests as possible. */
    APART,

    /** The work has its upstream to itself. */
    ALONE,
}
