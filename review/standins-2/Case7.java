import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Streams that two workers of two versions have worked on, taken up after all fronts were killed. */
final class Case7 {
    private static final int STREAMS = 30;
    private static final int EVENTS = 72;
    private static final long PAUSE_MILLIS = 120;
    private static final long PREFILL_MILLIS = 60;
    private static final long LIMIT_MILLIS = 12_000;
    private static final int GAP_MILLIS = 2_000;
    private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: piece \\d+ of \\d+ by (v\\d)\n\n");

    /** A worker that reads the prompt for a while before it sends the head of a stream. */
    private static final class Engine extends Rig.Worker {
        Engine(Rig rig, String id, String version, boolean behindProxy) throws IOException {
            rig.super(id, "llm", 8, version, behindProxy);
        }

        @Override
        void stream(Rig.Channel channel, Rig.Message request, int events, long pauseMillis) throws Exception {
            Thread.sleep(PREFILL_MILLIS);
            super.stream(channel, request, events, pauseMillis);
        }
    }

    public static void main(String[] arguments) throws Exception {
        int result = 2;
        try (Rig rig = new Rig(Path.of(arguments[0]), Path.of(arguments[1]))) {
            result = play(rig);
        } catch (Exception e) {
            e.printStackTrace();
        }
        // 10: the rule held, 11: it was broken, 12: the case could not run; any other code is that of the virtual machine.
        System.exit(10 + result);
    }

    private static int play(Rig rig) throws Exception {
        for (int i = 1; i <= 4; i++) {
            new Engine(rig, "i-llm" + i, "v1", false);
        }
        List<Rig.Worker> newer = new ArrayList<>();
        for (int i = 5; i <= 6; i++) {
            newer.add(new Engine(rig, "i-llm" + i, "v2", true));
        }
        rig.putConfig(7);
        rig.startFronts(3);
        warmUp(rig);
        AtomicInteger resumed = new AtomicInteger();
        AtomicInteger refused = new AtomicInteger();
        AtomicInteger mixed = new AtomicInteger();
        AtomicInteger whole = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            int number = i;
            clients.add(Rig.thread("client", () -> {
                String first = rig.newAttemptId();
                long sentAt = Rig.now();
                StringBuilder events = new StringBuilder();
                boolean complete = read(rig, rig.fronts.get(number % 3), first, "", LIMIT_MILLIS, events);
                String got = versions(events);
                if (complete) {
                    whole.incrementAndGet();
                } else if (events.length() > 0) {
                    Rig.Front front = rig.fronts.get((number + 1) % 3);
                    while (!front.ready()) {
                        Thread.sleep(20);
                    }
                    String second = rig.newAttemptId();
                    String takesUp = "Last-Event-Id: " + lastEvent(events) + "\r\nResumes: " + first + "\r\n";
                    int before = events.length();
                    read(rig, front, second, takesUp, LIMIT_MILLIS - (Rig.now() - sentAt), events);
                    (events.length() > before ? resumed : refused).incrementAndGet();
                }
                String both = versions(events);
                rig.note("stream " + first + ": " + (complete ? "whole" : "broken off after events of " + got
                        + ", then has events of " + both));
                if (both.length() > 2) {
                    mixed.incrementAndGet();
                }
            }));
        }
        // The workers have begun, and send their first events 180 ms after that.
        Thread.sleep(140);
        if (rig.trouble) {
            for (Rig.Worker worker : newer) {
                rig.note("open channels to " + worker.id + " go silent; " + worker.ran.size() + " streams run there");
                worker.proxy.silence();
            }
            Thread.sleep(3_000);
            rig.note("all fronts are killed");
            rig.fronts.forEach(Rig.Front::kill);
            Thread.sleep(1_000);
            for (Rig.Front front : rig.fronts) {
                front.process.waitFor();
                front.start(false);
            }
        }
        for (Thread client : clients) {
            client.join(25_000);
        }
        String result = "streams: " + whole + " whole at once, " + resumed + " resumed, " + refused + " not resumed, "
                + mixed + " with events of two versions";
        rig.note(result);
        System.out.println(result);
        if (whole.get() + resumed.get() + refused.get() < STREAMS / 2) {
            return 2;
        }
        return mixed.get() > 2 ? 1 : 0;
    }

    /** Has each front pass on some short streams, so that none is slow for being new. */
    private static void warmUp(Rig rig) throws Exception {
        for (int i = 0; i < 120; i++) {
            Rig.Front front = rig.fronts.get(i % 3);
            try (Rig.Channel channel = new Rig.Channel(front.ip, front.callerPort)) {
                channel.send(rig.streamRequest("/sr/x", rig.newAttemptId(), LIMIT_MILLIS, 2, 20));
                channel.readAnswer();
            }
        }
    }

    /** Sends a request for a stream, and adds the whole events that come; returns whether it ends as complete. */
    private static boolean read(
            Rig rig, Rig.Front front, String attemptId, String headers, long limitMillis, StringBuilder events) {
        try (Rig.Channel channel = new Rig.Channel(front.ip, front.callerPort)) {
            String request = rig.streamRequest("/sr/x", attemptId, limitMillis, EVENTS, PAUSE_MILLIS);
            // "Requesters abandon a stream, also before its first event, after a gap of two seconds".
            channel.socket.setSoTimeout(GAP_MILLIS);
            rig.note("sent " + attemptId + " to " + front.name + " " + headers.replace("\r\n", " "));
            channel.send(request.replace("Content-Length:", headers + "Content-Length:"));
            Rig.Message answer = channel.readAnswer();
            rig.note(attemptId + " at " + front.name + ": " + answer.status + (answer.complete ? " whole" : " cut"));
            if (answer.status == 200) {
                Matcher event = EVENT.matcher(new String(answer.body, StandardCharsets.UTF_8));
                while (event.find()) {
                    events.append(event.group());
                }
            }
            return answer.status == 200 && answer.complete;
        } catch (IOException e) {
            rig.note(attemptId + " at " + front.name + ": " + e);
            return false;
        }
    }

    private static String versions(CharSequence events) {
        StringBuilder versions = new StringBuilder();
        Matcher event = EVENT.matcher(events);
        while (event.find()) {
            if (versions.indexOf(event.group(2)) < 0) {
                versions.append(event.group(2));
            }
        }
        return versions.toString();
    }

    private static String lastEvent(CharSequence events) {
        String last = "";
        Matcher event = EVENT.matcher(events);
        while (event.find()) {
            last = event.group(1);
        }
        return last;
    }
}
