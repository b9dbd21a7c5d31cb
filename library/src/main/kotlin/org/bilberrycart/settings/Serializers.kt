package org.bilberrycart.settings

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.builtins.MapSerializer
import kotlinx.serialization.builtins.SetSerializer
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

/** A duration serialized as whole milliseconds. */
public typealias Millis =
    @Serializable(MillisSerializer::class)
    Duration

/** An immutable map serialized as an object. */
public typealias SettingsMap<K, V> =
    @Serializable(PersistentMapSerializer::class)
    PersistentMap<K, V>

/** An immutable set serialized as an array. */
public typealias SettingsSet<T> =
    @Serializable(PersistentSetSerializer::class)
    PersistentSet<T>

/** An immutable list serialized as an array. */
public typealias SettingsList<T> =
    @Serializable(PersistentListSerializer::class)
    PersistentList<T>

/** Serializes a [Duration] as whole milliseconds. */
public object MillisSerializer : KSerializer<Duration> {
    override val descriptor: SerialDescriptor =
        PrimitiveSerialDescriptor("org.bilberrycart.settings.Millis", PrimitiveKind.LONG)

    override fun serialize(encoder: Encoder, value: Duration): Unit =
        encoder.encodeLong(value.inWholeMilliseconds)

    override fun deserialize(decoder: Decoder): Duration = decoder.decodeLong().milliseconds
}

/** Serializes a [PersistentMap] as a map. */
public class PersistentMapSerializer<K, V>(keys: KSerializer<K>, values: KSerializer<V>) :
    KSerializer<PersistentMap<K, V>> {
    private val delegate = MapSerializer(keys, values)

    override val descriptor: SerialDescriptor = delegate.descriptor

    override fun serialize(encoder: Encoder, value: PersistentMap<K, V>): Unit =
        delegate.serialize(encoder, value)

    override fun deserialize(decoder: Decoder): PersistentMap<K, V> =
        delegate.deserialize(decoder).toPersistentMap()
}

/** Serializes a [PersistentSet] as a list. */
public class PersistentSetSerializer<T>(items: KSerializer<T>) : KSerializer<PersistentSet<T>> {
    private val delegate = SetSerializer(items)

    override val descriptor: SerialDescriptor = delegate.descriptor

    override fun serialize(encoder: Encoder, value: PersistentSet<T>): Unit =
        delegate.serialize(encoder, value)

    override fun deserialize(decoder: Decoder): PersistentSet<T> =
        delegate.deserialize(decoder).toPersistentSet()
}

/** Serializes a [PersistentList] as a list. */
public class PersistentListSerializer<T>(items: KSerializer<T>) : KSerializer<PersistentList<T>> {
    private val delegate = ListSerializer(items)

    override val descriptor: SerialDescriptor = delegate.descriptor

    override fun serialize(encoder: Encoder, value: PersistentList<T>): Unit =
        delegate.serialize(encoder, value)

    override fun deserialize(decoder: Decoder): PersistentList<T> =
        delegate.deserialize(decoder).toPersistentList()
}
