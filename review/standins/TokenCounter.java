import java.util.ArrayDeque;
import java.util.Deque;

/** Counts the tokens of the requests of one tenant that workers run, in a window that slides. */
final class TokenCounter {
    private record Run(long atMillis, long tokens) {}

    private static final Deque<Run> window = new ArrayDeque<>();
    private static String tenant = "";
    private static long windowMillis;
    private static long tokens;
    private static long mostTokens;

    private TokenCounter() {}

    static synchronized void count(String tenantName, long millis) {
        tenant = tenantName;
        windowMillis = millis;
    }

    static synchronized void ran(String tenantName, String usage) {
        if (!tenantName.equals(tenant) || usage.isEmpty()) {
            return;
        }
        long nowMillis = Harness.nowMillis();
        String[] numbers = usage.split(",");
        Run run = new Run(nowMillis, Long.parseLong(numbers[0]) + Long.parseLong(numbers[1]));
        window.add(run);
        tokens += run.tokens();
        while (window.peek().atMillis() <= nowMillis - windowMillis) {
            tokens -= window.poll().tokens();
        }
        mostTokens = Math.max(mostTokens, tokens);
    }

    static synchronized long mostTokens() {
        return mostTokens;
    }
}
