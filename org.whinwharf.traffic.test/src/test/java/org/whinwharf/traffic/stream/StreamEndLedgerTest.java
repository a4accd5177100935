package org.whinwharf.traffic.stream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StreamEndLedgerTest {
    private static final double MAX_SHARE = 0.1;

    /** Guards against asking about every end of a service that declares none, and against not doubting the odd one. */
    @ParameterizedTest
    @CsvSource({"0, 1, false", "18, 1, false", "19, 1, true", "90, 10, true", "89, 11, false", "0, 100, false"})
    void undeclaredEndsAreRareByTheirShare(int declared, int undeclared, boolean rare) {
        StreamEndLedger ledger = ledger(declared, undeclared);
        assertThat(ledger.undeclaredRare(MAX_SHARE, List.of()), is(rare));
    }

    /** Guards against a share that never changes again after many streams. */
    @ParameterizedTest
    @CsvSource({"1000, 11, false", "1000, 10, true"})
    void onlyTheLatestEndsCount(int declared, int undeclared, boolean rare) {
        assertThat(ledger(declared, undeclared).undeclaredRare(MAX_SHARE, List.of()), is(rare));
        StreamEndLedger changed = ledger(undeclared, declared);
        assertThat(changed.undeclaredRare(MAX_SHARE, List.of()), is(false));
    }

    private static StreamEndLedger ledger(int declared, int undeclared) {
        StreamEndLedger ledger = new StreamEndLedger();
        for (int i = 0; i < declared; i++) {
            ledger.ended(true);
        }
        for (int i = 0; i < undeclared; i++) {
            ledger.ended(false);
        }
        return ledger;
    }
}
