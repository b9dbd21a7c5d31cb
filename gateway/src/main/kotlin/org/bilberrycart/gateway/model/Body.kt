package org.bilberrycart.gateway.model

/** An immutable sequence of bytes; the array passed to the constructor must not be modified. */
public class Body(internal val bytes: ByteArray) {
    /** The number of bytes. */
    public val size: Int
        get() = bytes.size

    /** Returns the bytes decoded as ISO 8859-1, one character for each byte. */
    public fun text(): String = String(bytes, Charsets.ISO_8859_1)

    override fun equals(other: Any?): Boolean = other is Body && bytes.contentEquals(other.bytes)

    override fun hashCode(): Int = bytes.contentHashCode()

    override fun toString(): String = "Body($size bytes)"

    /** Creates bodies. */
    public companion object {
        /** The empty body. */
        public val EMPTY: Body = Body(ByteArray(0))

        /** Returns a body that holds [text] encoded as ISO 8859-1. */
        public fun of(text: String): Body = Body(text.toByteArray(Charsets.ISO_8859_1))
    }
}
