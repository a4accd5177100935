import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A planned stop after the settings file has given the front a longer grace time. */
final class Case10 {
    private static final int GRACE_SECONDS = 16;

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
        for (int i = 1; i <= 3; i++) {
            rig.new Worker("i-llm" + i, "llm", 8);
        }
        rig.putConfig(7);
        rig.startFronts(3);
        Rig.Front front = rig.fronts.get(0);
        front.changeSettings("\"stopGraceSeconds\": 8", "\"stopGraceSeconds\": " + GRACE_SECONDS);
        front.signal("HUP");
        Thread.sleep(4_000);
        AtomicInteger whole = new AtomicInteger();
        AtomicInteger cut = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            clients.add(Rig.thread("client", () -> {
                try (Rig.Channel channel = new Rig.Channel(front.ip, front.callerPort)) {
                    String id = rig.newAttemptId();
                    channel.send(rig.streamRequest("/s/x", id, 15_000, 100, 100));
                    long sentAt = Rig.now();
                    Rig.Message answer = channel.readAnswer();
                    rig.note("answer to " + id + ": " + answer.status + (answer.complete ? " whole" : " cut") + " after "
                            + (Rig.now() - sentAt) + " ms");
                    (answer.complete ? whole : cut).incrementAndGet();
                }
            }));
        }
        Thread.sleep(500);
        if (rig.trouble) {
            front.terminate();
        }
        for (Thread client : clients) {
            client.join(25_000);
        }
        String result = "streams of 10 s: " + whole + " whole, " + cut + " cut";
        rig.note(result);
        System.out.println(result);
        if (whole.get() + cut.get() < 8) {
            return 2;
        }
        return cut.get() > 3 ? 1 : 0;
    }
}
