import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** An entry of another writer, with fields missing, under the id of a worker of another service. */
final class Case8 {
    private static final int WRITES = 4;

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
        for (int i = 1; i <= 3; i++) {
            rig.new Worker("i-llm" + i, "llm", 8);
        }
        Rig.Worker named = rig.workers.get(0);
        for (int i = 1; i <= 2; i++) {
            rig.new Worker("i-app" + i, "app", 6);
        }
        rig.putConfig(7);
        rig.startFronts(3);
        AtomicInteger served = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        long endsAt = Rig.now() + 8_000;
        for (int i = 0; i < 6; i++) {
            Rig.Front front = rig.fronts.get(i % 3);
            clients.add(Rig.thread("bookings", () -> {
                try (Rig.Channel channel = new Rig.Channel(front.ip, front.callerPort)) {
                    while (Rig.now() < endsAt) {
                        String id = rig.newAttemptId();
                        rig.note("sent " + id);
                        channel.send(rig.head("POST", "/book/x", id, 1_000) + "Content-Length: 5\r\n\r\nplate");
                        int status = channel.readAnswer().status;
                        rig.note("answer to " + id + ": " + status);
                        served.addAndGet(status == 200 ? 1 : 0);
                        Thread.sleep(60);
                    }
                }
            }));
        }
        Thread.sleep(1_000);
        for (int i = 0; rig.trouble && i < WRITES; i++) {
            // Without cold-left-ms and seq.
            String entry = "{\"service\":\"app\",\"address\":\"" + named.address()
                    + "\",\"zone\":\"zilina-a\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\"}";
            rig.note("another writer writes servers/" + named.id + " " + entry);
            rig.store.put("servers/" + named.id, entry);
            Thread.sleep(1_500);
        }
        for (Thread client : clients) {
            client.join(15_000);
        }
        // Nothing but bookings was sent, and their route leads to the service app only.
        int foreign = rig.workers.stream()
                .filter(worker -> worker.service.equals("llm"))
                .mapToInt(worker -> worker.ran.size())
                .sum();
        String result = "bookings: " + served + " served, " + foreign + " run by workers of the service llm";
        rig.note(result);
        System.out.println(result);
        if (served.get() < 100) {
            return 2;
        }
        return foreign > 0 ? 1 : 0;
    }
}
