package org.whinwharf.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class AsyncLogWriterTest {
    private static final int LINES = 10_000;
    private static final long TIMEOUT_SECONDS = 20;

    /**
     * Whoever reads the log stops reading, and the pipe is full. The thread that serves requests goes on writing lines
     * and must never wait; how many lines were lost is written once the reader is back.
     */
    @Test
    void fullPipeBlocksNoThreadAndDroppedLinesAreCounted() throws Exception {
        CountDownLatch readerBack = new CountDownLatch(1);
        ByteArrayOutputStream read = new ByteArrayOutputStream();
        AsyncLogWriter ring = new AsyncLogWriter(new PrintStream(new BlockedStream(readerBack, read)));
        ring.start();
        for (int i = 0; i < LINES; i++) {
            ring.append("line\n");
        }
        readerBack.countDown();
        awaitText(read, "log-lines-dropped");
        ring.stop();
    }

    /**
     * The process ends in order, perhaps before the log's thread has run at all. Its last lines say why, and must not
     * stay in the ring.
     */
    @Test
    void stopWritesRemainingLines() throws Exception {
        for (int i = 0; i < 50; i++) {
            ByteArrayOutputStream read = new ByteArrayOutputStream();
            AsyncLogWriter ring = new AsyncLogWriter(new PrintStream(read));
            ring.start();
            ring.append("drained\n");
            ring.stop();
            awaitText(read, "drained");
        }
    }

    private static void awaitText(ByteArrayOutputStream read, String expected) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (!text(read).contains(expected)) {
            assertThat("in time", System.nanoTime() < endNanos, is(true));
            Thread.sleep(1);
        }
    }

    private static String text(ByteArrayOutputStream bytes) {
        return bytes.toString(StandardCharsets.UTF_8);
    }

    private static final class BlockedStream extends OutputStream {
        private final CountDownLatch readerBack;
        private final OutputStream read;

        BlockedStream(CountDownLatch readerBack, OutputStream read) {
            this.readerBack = readerBack;
            this.read = read;
        }

        @Override
        public void write(int oneByte) {
            write(new byte[] {(byte) oneByte}, 0, 1);
        }

        @Override
        public void write(byte[] bytes, int offset, int length) {
            try {
                readerBack.await();
                read.write(bytes, offset, length);
            } catch (InterruptedException | java.io.IOException e) {
                throw new IllegalStateException(e);
            }
        }
    }
}
