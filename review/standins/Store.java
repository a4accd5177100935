import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in for the platform's metadata store: ranges, watches and history, without faults of its own. */
final class Store {
    private static final int MAX_ITEMS_PER_PAGE = 500;
    private static final int MAX_PAGE_BYTES = 1_000_000;

    private record Item(String key, byte[] value, long revision, long createdAt) {
        String json() {
            return value == null
                    ? "{\"key\":\"" + key + "\",\"revision\":" + revision + ",\"removed\":true}"
                    : "{\"key\":\"" + key + "\",\"value\":\"" + Base64.getEncoder().encodeToString(value)
                            + "\",\"revision\":" + revision + ",\"created-at\":" + createdAt + ",\"lease\":0}";
        }
    }

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Item> history = new ArrayList<>();
    private final ServerSocket server = new ServerSocket();
    private long revision = 1;

    Store(String ip) throws Exception {
        server.bind(new InetSocketAddress(ip, 0), 256);
        Harness.thread("store", () -> {
            while (true) {
                Socket socket = server.accept();
                Harness.thread("store-connection", () -> serve(socket));
            }
        });
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    /** Writes an item; a null value removes it. Returns when the change is confirmed. */
    synchronized long put(String key, String value) {
        revision++;
        Item known = items.get(key);
        Item next = new Item(
                key,
                value == null ? null : value.getBytes(StandardCharsets.UTF_8),
                revision,
                known == null ? revision : known.createdAt());
        if (value == null) {
            items.remove(key);
        } else {
            items.put(key, next);
        }
        history.add(next);
        notifyAll();
        return revision;
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            HttpInput input = new HttpInput(socket.getInputStream());
            OutputStream output = socket.getOutputStream();
            while (true) {
                HttpInput.Head head = input.readHead();
                if (head == null) {
                    return;
                }
                String[] target = head.start().split(" ")[1].split("\\?", 2);
                Map<String, String> query = new HashMap<>();
                for (String pair : target.length < 2 ? new String[0] : target[1].split("&")) {
                    String[] parts = pair.split("=", 2);
                    query.put(parts[0], URLDecoder.decode(parts.length < 2 ? "" : parts[1], StandardCharsets.UTF_8));
                }
                String body;
                int status = 200;
                switch (target[0]) {
                    case "/whinwharf/kv-range" -> body = range(query);
                    case "/whinwharf/kv-watch" -> body = watch(query);
                    case "/whinwharf/kv-key" -> {
                        body = key(query.get("key"));
                        status = body == null ? 404 : 200;
                    }
                    default -> {
                        body = null;
                        status = 404;
                    }
                }
                byte[] bytes = (body == null ? "{}" : body).getBytes(StandardCharsets.UTF_8);
                Thread.sleep(4);
                output.write(("HTTP/1.1 " + status + " X\r\nContent-Type: application/json\r\nContent-Length: "
                                + bytes.length + "\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
                output.write(bytes);
                output.flush();
            }
        }
    }

    private synchronized String key(String key) {
        Item item = items.get(key);
        return item == null
                ? null
                : item.json().substring(0, item.json().length() - 1) + ",\"store-revision\":" + revision + "}";
    }

    private synchronized String range(Map<String, String> query) {
        String prefix = query.getOrDefault("prefix", "");
        StringBuilder page = new StringBuilder();
        int count = 0;
        boolean truncated = false;
        for (Item item : items.tailMap(query.getOrDefault("after", ""), false).values()) {
            if (!item.key().startsWith(prefix)) {
                continue;
            }
            if (count == MAX_ITEMS_PER_PAGE || page.length() > MAX_PAGE_BYTES) {
                truncated = true;
                break;
            }
            page.append(count++ > 0 ? "," : "").append(item.json());
        }
        return "{\"items\":[" + page + "],\"truncated\":" + truncated + ",\"store-revision\":" + revision + "}";
    }

    private synchronized String watch(Map<String, String> query) throws InterruptedException {
        String prefix = query.getOrDefault("prefix", "");
        long after = Long.parseLong(query.get("after"));
        long endMillis = Harness.nowMillis() + Math.min(30_000, Long.parseLong(query.get("wait-ms")));
        while (true) {
            StringBuilder events = new StringBuilder();
            for (Item item : history) {
                if (item.revision() > after && item.key().startsWith(prefix)) {
                    events.append(events.length() > 0 ? "," : "").append(item.json());
                }
            }
            long leftMillis = endMillis - Harness.nowMillis();
            if (events.length() > 0 || leftMillis <= 0) {
                return "{\"events\":[" + events + "],\"store-revision\":" + revision + "}";
            }
            wait(leftMillis);
        }
    }
}
