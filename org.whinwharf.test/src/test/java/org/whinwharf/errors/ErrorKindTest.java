package org.whinwharf.errors;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class ErrorKindTest {
    @Test
    void everyKindHasAnErrorStatus() {
        for (ErrorKind kind : ErrorKind.values()) {
            assertThat(kind.name(), kind.httpStatus(), greaterThanOrEqualTo(400));
        }
    }

    @Test
    void wireNameIsLowerCaseWithHyphens() {
        assertThat(ErrorKind.HOST_FULL.wireName(), is("host-full"));
    }
}
