import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Requests with bodies just below max-body-bytes at one front, and twice as many of them in a burst. */
final class Case7 {
    private static final int USUAL_UPLOADS = 10;
    private static final int BURST_UPLOADS = 20;
    private static final int BODY_BYTES = 4_000_000;
    private static final int PIECE_BYTES = 64 * 1_024;
    /** Bytes a millisecond of all uploads together: four fifths of the link of 1,000 Mbit/s. */
    private static final int BYTES_PER_MILLI = 100_000;
    private static final int BOOKING_CHANNELS = 12;
    private static final long TIMEOUT_MILLIS = 1_000;

    public static void main(String[] arguments) throws Exception {
        int result = 2;
        try (Rig rig = new Rig(Path.of(arguments[0]), Path.of(arguments[1]))) {
            result = play(rig);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(result);
    }

    private static int play(Rig rig) throws Exception {
        for (int i = 1; i <= 4; i++) {
            rig.new Worker("i-llm" + i, "llm", 8);
        }
        for (int i = 1; i <= 3; i++) {
            rig.new Worker("i-app" + i, "app", 6);
        }
        rig.putConfig(7);
        rig.startFronts(3);
        Rig.Front front = rig.fronts.get(0);
        AtomicInteger served = new AtomicInteger();
        AtomicInteger unanswered = new AtomicInteger();
        AtomicInteger stillUnanswered = new AtomicInteger();
        AtomicInteger ranWithoutAnswer = new AtomicInteger();
        AtomicInteger uploadsWhole = new AtomicInteger();
        AtomicLong slowest = new AtomicLong();
        List<Thread> clients = new ArrayList<>();
        long endsAt = Rig.now() + 12_000;
        for (int i = 0; i < BOOKING_CHANNELS; i++) {
            clients.add(Rig.thread("bookings", () -> {
                while (Rig.now() < endsAt) {
                    try (Rig.Channel channel = new Rig.Channel(front.ip, front.callerPort)) {
                        while (Rig.now() < endsAt) {
                            String id = rig.newAttemptId();
                            long sentAt = Rig.now();
                            int status = 0;
                            try {
                                channel.send(rig.head("POST", "/book/x", id, TIMEOUT_MILLIS)
                                        + "Content-Length: 5\r\n\r\nplate");
                                status = channel.readAnswer().status;
                            } finally {
                                long took = Rig.now() - sentAt;
                                slowest.accumulateAndGet(took, Math::max);
                                if (status == 200) {
                                    served.incrementAndGet();
                                } else {
                                    boolean ran = rig.workers.stream().anyMatch(worker -> worker.ran.contains(id));
                                    rig.note("booking " + id + ": "
                                            + (status == 0 ? "closed" : "status " + status) + " after " + took
                                            + " ms, " + (ran ? "has run" : "has not run"));
                                    ranWithoutAnswer.addAndGet(ran ? 1 : 0);
                                }
                                if (took > TIMEOUT_MILLIS) {
                                    unanswered.incrementAndGet();
                                    stillUnanswered.addAndGet(took > TIMEOUT_MILLIS + 500 ? 1 : 0);
                                }
                            }
                            Thread.sleep(100);
                        }
                    } catch (IOException e) {
                        rig.note("channel of bookings: " + e);
                    }
                }
            }));
        }
        Thread.sleep(1_000);
        int uploads = rig.trouble ? BURST_UPLOADS : USUAL_UPLOADS;
        rig.note(uploads + " uploads begin");
        long beganAt = Rig.now();
        AtomicLong sentBytes = new AtomicLong();
        for (int i = 0; i < uploads; i++) {
            clients.add(Rig.thread("upload", () -> {
                String id = rig.newAttemptId();
                String outcome = "closed";
                try (Rig.Channel channel = new Rig.Channel(front.ip, front.callerPort)) {
                    channel.send(rig.head("POST", "/s/x", id, 15_000) + "X-Model: m\r\nX-Token-Usage: 6600,300\r\n"
                            + "X-Prompt-Prefix: " + Integer.toHexString(id.hashCode()) + ":6600\r\n"
                            + "X-Test-Events: 10\r\nX-Test-Pause-Ms: 50\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n");
                    byte[] piece = new byte[PIECE_BYTES];
                    for (int sent = 0; sent < BODY_BYTES; sent += PIECE_BYTES) {
                        int size = Math.min(PIECE_BYTES, BODY_BYTES - sent);
                        Rig.sleepUntil(beganAt + sentBytes.addAndGet(size) / BYTES_PER_MILLI);
                        channel.out.write(piece, 0, size);
                    }
                    rig.note("upload " + id + ": all bytes sent");
                    Rig.Message answer = channel.readAnswer();
                    outcome = answer.status + (answer.complete ? " whole" : " cut");
                    uploadsWhole.addAndGet(answer.status == 200 && answer.complete ? 1 : 0);
                } finally {
                    rig.note("upload " + id + ": " + outcome);
                }
            }));
        }
        for (Thread client : clients) {
            client.join(45_000);
        }
        String result = "bookings: " + served + " served, " + unanswered + " unanswered at their timeout, of these "
                + stillUnanswered + " half a second later, " + ranWithoutAnswer + " ran without a success, slowest "
                + slowest + " ms; uploads answered whole: " + uploadsWhole + " of " + uploads;
        rig.note(result);
        System.out.println(result);
        if (served.get() < 100) {
            return 2;
        }
        return stillUnanswered.get() >= 8 && 2 * stillUnanswered.get() > unanswered.get() ? 1 : 0;
    }
}
