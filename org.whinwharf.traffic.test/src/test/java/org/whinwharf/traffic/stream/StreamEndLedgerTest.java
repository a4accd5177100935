package org.whinwharf.traffic.stream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
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

    /** Guards against a peer whose wrong counts outweigh those of all others. */
    @ParameterizedTest
    @CsvSource({"1000000, 0, 0, 100, false", "2147483647, 0, 100, 0, true", "0, 2147483647, 2000, 0, true"})
    void noPeerOutweighsOthers(int declared, int undeclared, int ownDeclared, int ownUndeclared, boolean rare) {
        List<StreamEndCounts> others = new ArrayList<>();
        others.add(new StreamEndCounts(declared, undeclared));
        for (int i = 0; i < 20; i++) {
            others.add(new StreamEndCounts(ownDeclared, ownUndeclared));
        }
        assertThat(ledger(ownDeclared, ownUndeclared).undeclaredRare(MAX_SHARE, others), is(rare));
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
