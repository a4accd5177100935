package org.whinwharf.ticket;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Optional;
import org.whinwharf.errors.ErrorKind;
import org.whinwharf.errors.Result;
import org.whinwharf.wire.caller.ReceiptPayload;

/**
 * Proof that a request was sent to a target. With it any entry host can resume the request's stream at that target; it
 * never starts a request.
 *
 * @param target name of the target
 * @param address IP address of the target
 * @param port TCP port of the target
 * @param stream identifier of the stream at the target
 * @param organisation organisation that submitted the request
 */
public record Receipt(String target, String address, int port, String stream, String organisation) {
    private static final String PURPOSE = "receipt";

    /**
     * Seals this receipt.
     *
     * @param keys sealing keys of the active document
     * @return sealed text for the caller
     */
    public String seal(SealingKeys keys) {
        ReceiptPayload payload = ReceiptPayload.newBuilder()
                .setTarget(target)
                .setAddress(address)
                .setPort(port)
                .setStream(stream)
                .setOrganisation(organisation)
                .build();
        return keys.seal(PURPOSE, payload.toByteString());
    }

    /**
     * Verifies and parses a sealed receipt from a caller.
     *
     * @param text the sealed text
     * @param keys sealing keys of the active document
     * @return the receipt, or {@link ErrorKind#BAD_TICKET} when none of the keys sealed it
     */
    public static Result<Receipt> open(String text, SealingKeys keys) {
        Optional<Receipt> receipt = keys.open(PURPOSE, text).flatMap(bytes -> {
            try {
                return Optional.of(of(ReceiptPayload.parseFrom(bytes)));
            } catch (InvalidProtocolBufferException malformed) {
                return Optional.empty();
            }
        });
        return receipt.<Result<Receipt>>map(Result::of)
                .orElseGet(() -> Result.failure(ErrorKind.BAD_TICKET, "the receipt was not sealed by this system"));
    }

    private static Receipt of(ReceiptPayload payload) {
        return new Receipt(
                payload.getTarget(),
                payload.getAddress(),
                payload.getPort(),
                payload.getStream(),
                payload.getOrganisation());
    }
}
