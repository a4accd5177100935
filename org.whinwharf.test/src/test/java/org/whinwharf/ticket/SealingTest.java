package org.whinwharf.ticket;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import com.google.protobuf.ByteString;
import java.util.Base64;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.whinwharf.errors.ErrorKind;
import org.whinwharf.errors.Failure;
import org.whinwharf.errors.Result;
import org.whinwharf.wire.schema.SealingKey;

class SealingTest {
    private static final Ticket TICKET = new Ticket("entry-1", 0xfedcba9876543210L, 1, 2, "orava", 5000);
    private static final Receipt RECEIPT = new Receipt("engine-1", "127.0.0.9", 9000, "entry-1.1.2", "orava");

    @Test
    void opensWhatItSealed() {
        SealingKeys keys = new SealingKeys(List.of(key(1)));
        assertThat(Ticket.open(TICKET.seal(keys), keys), is(Result.of(TICKET)));
        assertThat(Receipt.open(RECEIPT.seal(keys), keys), is(Result.of(RECEIPT)));
    }

    // Operators replace the sealing key by promoting a document with a new first key. Callers still hold tickets
    // sealed with the old key; if those were refused, every caller would receive "bad ticket" after the promotion.
    @Test
    void opensWithAnyKeyOfTheDocument() {
        String text = TICKET.seal(new SealingKeys(List.of(key(1))));
        assertThat(Ticket.open(text, new SealingKeys(List.of(key(2), key(1)))), is(Result.of(TICKET)));
        assertIsBad(Ticket.open(text, new SealingKeys(List.of(key(2)))));
    }

    // A caller alters a ticket to use another organisation or to extend its expiry time. The ticket must not open.
    @Test
    void refusesEachAlteredByte() {
        SealingKeys keys = new SealingKeys(List.of(key(1)));
        byte[] bytes = Base64.getUrlDecoder().decode(TICKET.seal(keys));
        for (int i = 0; i < bytes.length; i++) {
            bytes[i] ^= 1;
            assertIsBad(Ticket.open(Base64.getUrlEncoder().encodeToString(bytes), keys));
            bytes[i] ^= 1;
        }
    }

    @Test
    void refusesReceiptAsTicketAndTextThatIsNoSeal() {
        SealingKeys keys = new SealingKeys(List.of(key(1)));
        assertIsBad(Ticket.open(RECEIPT.seal(keys), keys));
        assertIsBad(Ticket.open("", keys));
        assertIsBad(Ticket.open("%%%", keys));
        assertIsBad(Ticket.open("A".repeat(100_000), keys));
    }

    @Test
    void requestIdSurvivesItsTextForm() {
        RequestId id = new RequestId("entry-1", 0xfedcba9876543210L, 255);
        assertThat(id.toString(), is("entry-1.fedcba9876543210.ff"));
        assertThat(RequestId.parse(id.toString()).orElseThrow(), is(id));
        assertThat(RequestId.parse("entry-1..").isPresent(), is(false));
    }

    private static void assertIsBad(Result<Ticket> result) {
        assertThat(result, instanceOf(Failure.class));
        assertThat(((Failure<Ticket>) result).kind(), is(ErrorKind.BAD_TICKET));
    }

    private static SealingKey key(int id) {
        return SealingKey.newBuilder()
                .setId(id)
                .setKey(ByteString.copyFrom(new byte[32]).concat(ByteString.copyFrom(new byte[] {(byte) id})))
                .build();
    }
}
