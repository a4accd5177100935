package org.whinwharf.home;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;

/** Checks all interleavings of the home's thread, which closes the gate, and the sending thread. */
public class SendGateTest {
    private final SendGate gate = new SendGate(10);

    @Operation
    public boolean sendInTime() {
        return gate.trySend(9);
    }

    @Operation
    public boolean sendTooLate() {
        return gate.trySend(10);
    }

    @Operation
    public boolean close() {
        return gate.close();
    }

    // A caller cancels its request at the moment it is sent. Both threads must agree on which came first; otherwise
    // the caller is told "not run" of a request that ran.
    @Test
    void sendingAndClosingAgreeOnWhichCameFirst() {
        new ModelCheckingOptions().iterations(20).invocationsPerIteration(500).check(SendGateTest.class);
    }

    @Test
    void closedGateNeverOpensAgain() {
        assertThat(gate.trySend(10), is(false));
        assertThat(gate.trySend(9), is(false));
        assertThat(gate.close(), is(true));
    }
}
