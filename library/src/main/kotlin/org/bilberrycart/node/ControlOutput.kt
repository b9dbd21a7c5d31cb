package org.bilberrycart.node

import org.bilberrycart.configuration.ConfigurationDocument
import org.bilberrycart.idempotency.IdempotencyEvent
import org.bilberrycart.model.VmId
import org.bilberrycart.replication.VerdictStore
import org.bilberrycart.store.StoreResult

/** Where the control duties put what concerns the rest of the node; none of it may wait long. */
public interface ControlOutput {
    /** [document] is in force for new requests. */
    public fun adopt(document: ConfigurationDocument)

    /** The other nodes are to hear that [version] is in force here. */
    public fun announce(version: Long)

    /** [peer] is to be asked for its document. */
    public fun askPeer(peer: VmId)

    /** [document] is to be sent to [peer]. */
    public fun sendDocument(peer: VmId, document: ConfigurationDocument)

    /** The node may take new work for the sake of its configuration, or not. */
    public fun ready(isReady: Boolean)

    /** A store call of the idempotency duty ended. */
    public fun idempotency(event: IdempotencyEvent)

    /** A decision between the owner and the holder of a replica ended. */
    public fun verdict(context: VerdictStore.Context, result: StoreResult): Unit = Unit
}
