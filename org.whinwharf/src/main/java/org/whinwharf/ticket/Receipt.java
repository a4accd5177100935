package org.whinwharf.ticket;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Optional;
import org.whinwharf.errors.ErrorKind;
import org.whinwharf.errors.Result;
import org.whinwharf.wire.caller.ReceiptPayload;

/**
 * Proof that a request was sent to a target; any entry host resumes the stream for it and none starts anything.
 *
 * @param target name of the target
 * @param address IP number of the target
 * @param port TCP port of the target
 * @param stream identifier of the stream at the target
 * @param organisation organisation whose request it is
 */
public record Receipt(String target, String address, int port, String stream, String organisation) {
    private static final String PURPOSE = "receipt";

    /**
     * Seals this receipt.
     *
     * @param keys keys of the document in force
     * @return text for the caller
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
     * Opens a receipt that a caller shows.
     *
     * @param text the sealed text
     * @param keys keys of the document in force
     * @return the receipt, or {@link ErrorKind#BAD_TICKET} when this system did not seal it
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
