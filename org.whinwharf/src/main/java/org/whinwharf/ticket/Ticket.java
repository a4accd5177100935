package org.whinwharf.ticket;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Optional;
import org.whinwharf.errors.ErrorKind;
import org.whinwharf.errors.Result;
import org.whinwharf.wire.caller.TicketPayload;

/**
 * Permission to submit numbered requests to one home, the only entry process that may dispatch them. The home runs each
 * number at most once, so a caller can safely repeat a submission.
 *
 * @param home name of the host whose entry process is the home
 * @param incarnation random number that identifies the run of the home that issued the ticket
 * @param idHigh upper half of the ticket's random 128-bit identifier
 * @param idLow lower half of the identifier
 * @param organisation organisation that the ticket was issued to
 * @param expiresAtMillis expiry time in milliseconds, by the home's monotonic clock
 */
public record Ticket(
        String home, long incarnation, long idHigh, long idLow, String organisation, long expiresAtMillis) {
    private static final String PURPOSE = "ticket";

    /**
     * Seals this ticket.
     *
     * @param keys sealing keys of the active document
     * @return sealed text for the caller
     */
    public String seal(SealingKeys keys) {
        TicketPayload payload = TicketPayload.newBuilder()
                .setHome(home)
                .setIncarnation(incarnation)
                .setIdHigh(idHigh)
                .setIdLow(idLow)
                .setOrganisation(organisation)
                .setExpiresAtMillis(expiresAtMillis)
                .build();
        return keys.seal(PURPOSE, payload.toByteString());
    }

    /**
     * Verifies and parses a sealed ticket from a caller.
     *
     * @param text the sealed text
     * @param keys sealing keys of the active document
     * @return the ticket, or {@link ErrorKind#BAD_TICKET} when none of the keys sealed it
     */
    public static Result<Ticket> open(String text, SealingKeys keys) {
        Optional<Ticket> ticket = keys.open(PURPOSE, text).flatMap(bytes -> {
            try {
                return Optional.of(of(TicketPayload.parseFrom(bytes)));
            } catch (InvalidProtocolBufferException malformed) {
                return Optional.empty();
            }
        });
        return ticket.<Result<Ticket>>map(Result::of)
                .orElseGet(() -> Result.failure(ErrorKind.BAD_TICKET, "the ticket was not sealed by this system"));
    }

    private static Ticket of(TicketPayload payload) {
        return new Ticket(
                payload.getHome(),
                payload.getIncarnation(),
                payload.getIdHigh(),
                payload.getIdLow(),
                payload.getOrganisation(),
                payload.getExpiresAtMillis());
    }
}
