package org.whinwharf.wire.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.UnknownFieldSet;
import org.junit.jupiter.api.Test;

/** Tests how datagrams of fronts of another release are read. */
class FleetDatagramTest {
    /** Field with versions that do not consider targets that left before their sender started. */
    private static final int PUBLISHED_VERSIONS_FIELD = 16;

    /** Guards against versions that are taken for the only ones though their sender may have missed others. */
    @Test
    void versionsOfPublishedTargetsAreNotTakenForTheOnlyOnes() throws InvalidProtocolBufferException {
        ServiceVersionReport report = ServiceVersionReport.newBuilder()
                .setService("s")
                .setVersion("v2")
                .build();
        UnknownFieldSet published = UnknownFieldSet.newBuilder()
                .addField(
                        PUBLISHED_VERSIONS_FIELD,
                        UnknownFieldSet.Field.newBuilder()
                                .addLengthDelimited(report.toByteString())
                                .build())
                .build();
        FleetDatagram datagram = FleetDatagram.parseFrom(FleetDatagram.newBuilder()
                .setFrom("peer")
                .build()
                .toByteString()
                .concat(published.toByteString()));
        assertThat(datagram.getFrom(), is("peer"));
        assertThat(datagram.getOnlyVersionsList(), is(empty()));
    }
}
