package org.whinwharf.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class AsyncLogWriterTest {
    private static final int LINES = 10_000;
    /** Leaves fewer prompt lines than the buffer has room for. */
    private static final int LINES_PER_PROMPT_LINE = 10;

    private static final long TIMEOUT_SECONDS = 20;

    /**
     * The reader of the log stops reading and the pipe is full. The thread that serves requests continues to log and
     * must not block; the number of dropped lines is logged once the reader continues.
     */
    @Test
    void fullPipeBlocksNoThreadAndDroppedLinesAreCounted() throws Exception {
        CountDownLatch readerContinues = new CountDownLatch(1);
        ByteArrayOutputStream read = new ByteArrayOutputStream();
        AsyncLogWriter writer = new AsyncLogWriter(new PrintStream(new BlockedStream(readerContinues, read)));
        writer.start();
        for (int i = 0; i < LINES; i++) {
            writer.append("line\n");
        }
        readerContinues.countDown();
        awaitText(read, "log-lines-dropped");
        writer.stop();
    }

    /** Guards against a stream that changes its target and leaves no line, because others had filled the buffer. */
    @Test
    void promptLineIsKeptWhenOthersAreDropped() throws Exception {
        CountDownLatch readerContinues = new CountDownLatch(1);
        ByteArrayOutputStream read = new ByteArrayOutputStream();
        AsyncLogWriter writer = new AsyncLogWriter(new PrintStream(new BlockedStream(readerContinues, read)));
        writer.start();
        for (int i = 0; i < LINES; i++) {
            writer.append("line\n");
        }
        writer.appendPrompt("prompt\n");
        readerContinues.countDown();
        awaitText(read, "log-lines-dropped");
        awaitText(read, "prompt");
        writer.stop();
    }

    /** Guards against prompt lines that are lost among many others, while the reader of the log does not read. */
    @Test
    void noPromptLineOfManyIsDroppedBetweenOthers() throws Exception {
        CountDownLatch readerContinues = new CountDownLatch(1);
        ByteArrayOutputStream read = new ByteArrayOutputStream();
        AsyncLogWriter writer = new AsyncLogWriter(new PrintStream(new BlockedStream(readerContinues, read)));
        writer.start();
        for (int i = 0; i < LINES; i++) {
            writer.append("line\n");
            if (i % LINES_PER_PROMPT_LINE == 0) {
                writer.appendPrompt("prompt " + i + "\n");
            }
        }
        readerContinues.countDown();
        awaitText(read, "log-lines-dropped");
        writer.stop();
        List<String> expected = IntStream.range(0, LINES / LINES_PER_PROMPT_LINE)
                .mapToObj(i -> "prompt " + i * LINES_PER_PROMPT_LINE)
                .toList();
        awaitText(read, expected.get(expected.size() - 1) + "\n");
        assertThat(
                "prompt lines, in order",
                text(read).lines().filter(line -> line.startsWith("prompt")).toList(),
                is(expected));
    }

    /**
     * The process stops in an orderly way, possibly before the thread of the writer has run at all. The last lines
     * state the reason and must not be lost in the buffer.
     */
    @Test
    void stopWritesRemainingLines() throws Exception {
        for (int i = 0; i < 50; i++) {
            ByteArrayOutputStream read = new ByteArrayOutputStream();
            AsyncLogWriter writer = new AsyncLogWriter(new PrintStream(read));
            writer.start();
            writer.append("drained\n");
            writer.stop();
            awaitText(read, "drained");
        }
    }

    /** Guards against an error in one write that ends the thread, so that all later lines are dropped in silence. */
    @Test
    void errorInAWriteDoesNotKeepLaterLinesBack() throws Exception {
        ByteArrayOutputStream read = new ByteArrayOutputStream();
        AtomicBoolean failed = new AtomicBoolean();
        AsyncLogWriter writer = new AsyncLogWriter(new PrintStream(read) {
            @Override
            public void write(byte[] bytes) {
                if (failed.compareAndSet(false, true)) {
                    throw new StackOverflowError();
                }
                read.writeBytes(bytes);
            }
        });
        writer.start();
        writer.append("first\n");
        awaitFailure(failed);
        writer.append("second\n");
        awaitText(read, "second");
        assertThat("the lost line is counted", text(read).contains("\"count\":1"), is(true));
        writer.stop();
    }

    private static void awaitFailure(AtomicBoolean failed) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (!failed.get()) {
            assertThat("written within the timeout", System.nanoTime() < endNanos, is(true));
            Thread.sleep(1);
        }
    }

    private static void awaitText(ByteArrayOutputStream read, String expected) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (!text(read).contains(expected)) {
            assertThat("written within the timeout", System.nanoTime() < endNanos, is(true));
            Thread.sleep(1);
        }
    }

    private static String text(ByteArrayOutputStream bytes) {
        return bytes.toString(StandardCharsets.UTF_8);
    }

    private static final class BlockedStream extends OutputStream {
        private final CountDownLatch readerContinues;
        private final OutputStream read;

        BlockedStream(CountDownLatch readerContinues, OutputStream read) {
            this.readerContinues = readerContinues;
            this.read = read;
        }

        @Override
        public void write(int oneByte) {
            write(new byte[] {(byte) oneByte}, 0, 1);
        }

        @Override
        public void write(byte[] bytes, int offset, int length) {
            try {
                readerContinues.await();
                read.write(bytes, offset, length);
            } catch (InterruptedException | java.io.IOException e) {
                throw new IllegalStateException(e);
            }
        }
    }
}
