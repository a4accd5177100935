import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The model worker of one zone goes down and comes back cold, while one request in four lists the parts of a long
 * session in X-Prompt-Prefix. Requests that reach a cold worker within a second are counted.
 */
final class ColdReturn {
    /** Parts of a session; the header has 2.8 KB of the 16 KB that the configuration allows. PARTS=2 is a control. */
    private static final int SESSION_PARTS =
            Integer.parseInt(System.getenv().getOrDefault("PARTS", "180"));

    private static final int REQUESTERS_PER_FRONT = 8;
    private static final int REQUESTS_PER_SESSION_REQUEST = 4;
    private static final int DOWN_MILLIS = 4_500;
    private static final double COLD_PER_SECOND = 11.0;
    private static final double COLD_EXCESS = 1.5;
    private static final double COLD_SLACK = 5;
    private static final Map<String, Integer> answers = new ConcurrentHashMap<>();

    public static void main(String[] arguments) {
        Harness.main("requests to cold workers", () -> run(Path.of(arguments[0])));
    }

    private static boolean run(Path record) throws Exception {
        Harness.openRecord(record);
        Deployment fleet = new Deployment(7, 4, 2);
        fleet.start(5_000);
        long untilMillis = Harness.nowMillis() + 14_000;
        List<Thread> requesters = new ArrayList<>();
        for (FrontProcess front : fleet.fronts) {
            for (int i = 0; i < REQUESTERS_PER_FRONT; i++) {
                requesters.add(Harness.thread("requester", () -> send(front, untilMillis)));
            }
        }
        Thread.sleep(4_000);
        Worker cold = fleet.engines.get(1);
        if (Harness.trouble()) {
            cold.restart(DOWN_MILLIS);
        }
        for (Thread requester : requesters) {
            requester.join();
        }
        Harness.requireAnswers(answers.getOrDefault("200 whole", 0), 1_000);
        int most = fleet.engines.stream().mapToInt(Worker::mostInSecondWhileCold).max().orElseThrow();
        double allowed = COLD_PER_SECOND * COLD_EXCESS + COLD_SLACK;
        String summary = "at most " + most + " requests reached a cold worker in a second, allowed " + allowed + "; answers "
                + new TreeMap<>(answers);
        Harness.record("summary", summary);
        System.out.println(summary);
        return most <= allowed;
    }

    private static void send(FrontProcess front, long untilMillis) throws Exception {
        Channel channel = null;
        int number = 0;
        while (Harness.nowMillis() < untilMillis) {
            Thread.sleep(50);
            try {
                if (channel == null) {
                    channel = new Channel(front.ip(), FrontProcess.FRONT_PORT, 1_000);
                }
            } catch (Exception e) {
                continue;
            }
            String attempt = Deployment.newAttempt();
            int parts = ++number % REQUESTS_PER_SESSION_REQUEST == 0 ? SESSION_PARTS : 2;
            Channel.Answer answer = channel.call(Deployment.session(attempt, parts, 12_000), 12_000);
            answers.merge(answer.status() + " " + answer.end(), 1, Integer::sum);
            if (!answer.whole() || answer.head().header("connection").equals("close")) {
                channel.close();
                channel = null;
            }
        }
    }
}
