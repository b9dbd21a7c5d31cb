package org.bilberrycart.gateway.model

/** Bytes that are never changed after their making. */
public class Body(internal val bytes: ByteArray) {
    /** The number of bytes. */
    public val size: Int
        get() = bytes.size

    /** Returns a copy of the bytes as text of one byte a character. */
    public fun text(): String = String(bytes, Charsets.ISO_8859_1)

    override fun equals(other: Any?): Boolean = other is Body && bytes.contentEquals(other.bytes)

    override fun hashCode(): Int = bytes.contentHashCode()

    override fun toString(): String = "Body($size bytes)"

    /** Makes bodies. */
    public companion object {
        /** A body without bytes. */
        public val EMPTY: Body = Body(ByteArray(0))

        /** Returns the body that holds [text], one byte a character. */
        public fun of(text: String): Body = Body(text.toByteArray(Charsets.ISO_8859_1))
    }
}
