package org.bilberrycart.store

/**
 * The key of one row: [name] within [table].
 *
 * Both consist of letters, digits and `._-`; a name may also contain slashes.
 */
public data class RowKey(val table: String, val name: String) {
    init {
        require(TABLE.matches(table)) { "invalid table name: $table" }
        require(NAME.matches(name)) { "invalid row name: $name" }
    }

    override fun toString(): String = "$table/$name"

    public companion object {
        /** Parses the text that [toString] returns. */
        public fun parse(text: String): RowKey =
            RowKey(text.substringBefore('/'), text.substringAfter('/', missingDelimiterValue = ""))

        private val TABLE = Regex("[A-Za-z0-9._-]+")
        private val NAME = Regex("[A-Za-z0-9._/-]+")
    }
}
