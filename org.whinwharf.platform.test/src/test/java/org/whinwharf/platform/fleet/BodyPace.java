package org.whinwharf.platform.fleet;

/** How a caller sends the body of a request. */
enum BodyPace {
    /** With the head, in one write. */
    AT_ONCE {
        @Override
        String header(int length) {
            return "Content-Length: " + length;
        }
    },
    /** In pieces with pauses, with a length in the head. */
    SLOW_WITH_LENGTH {
        @Override
        String header(int length) {
            return "Content-Length: " + length;
        }
    },
    /** In chunks with pauses. */
    SLOW_IN_CHUNKS {
        @Override
        String header(int length) {
            return "Transfer-Encoding: chunked";
        }

        @Override
        String piece(String text) {
            return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
        }

        @Override
        String end() {
            return "0\r\n\r\n";
        }
    };

    /** Returns the header that tells how the end of the body is found. */
    abstract String header(int length);

    /** Returns what is written of a piece of the body. */
    String piece(String text) {
        return text;
    }

    /** Returns what is written after the last piece. */
    String end() {
        return "";
    }
}
