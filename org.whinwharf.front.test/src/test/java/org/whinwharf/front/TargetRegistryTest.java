package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import org.junit.jupiter.api.Test;

class TargetRegistryTest {
    /** Guards against a request that waits for a connection and is sent to the address that its target has left. */
    @Test
    void entryOfAFormerAddressReceivesNothing() throws IOException {
        try (FrontFixture front = new FrontFixture()) {
            front.publish("t", front.ip(), 9, 8);
            TargetEntry former = front.entry("t");
            assertThat(front.mayReceive(former), is(true));
            front.publish("t", front.ip(), 10, 8);
            assertThat(front.mayReceive(former), is(false));
            assertThat(front.mayReceive(front.entry("t")), is(true));
        }
    }
}
