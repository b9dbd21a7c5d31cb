import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's metadata store, as far as a node reads it: rows-get and rows-feed. */
final class Store extends Listener {
    private static final int MAX_ROWS = 500;
    private static final int ANSWER_MILLIS = 4;

    private record Row(String table, String key, byte[] value, long version) {
        String json() {
            String content = value == null
                ? "\"deleted\":true"
                : "\"value\":" + Json.text(Base64.getEncoder().encodeToString(value));
            return "{\"table\":" + Json.text(table) + ",\"part\":\"\",\"key\":" + Json.text(key)
                + "," + content + ",\"schema_version\":" + version + "}";
        }
    }

    private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
    private final List<Row> history = new ArrayList<>();
    private long version = 100;

    /** Called after each answer to rows-get, with its table and whether there is more to read. */
    volatile PageListener onPage = (table, from, hasMore) -> {};

    interface PageListener {
        void served(String table, String from, boolean hasMore);
    }

    Store() throws IOException {}

    /** Writes a row, or removes it if [value] is null, and returns the store's new version. */
    synchronized long put(String table, String key, byte[] value) {
        Row row = new Row(table, key, value, ++version);
        TreeMap<String, Row> rows = tables.computeIfAbsent(table, t -> new TreeMap<>());
        if (value == null) rows.remove(key);
        else rows.put(key, row);
        history.add(row);
        notifyAll();
        return version;
    }

    long put(String table, String key, String value) {
        return put(table, key, value.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    boolean handle(Message request, Socket socket, OutputStream out) throws Exception {
        String target = request.target();
        Map<String, String> query = query(target);
        if (target.startsWith("/api/rows-get?")) {
            Thread.sleep(ANSWER_MILLIS);
            get(query, out);
        } else if (target.startsWith("/api/rows-feed?")) {
            byte[] body = feed(query);
            Thread.sleep(ANSWER_MILLIS);
            send(out, "200 OK", "Content-Type: application/json\r\n", body);
        } else {
            send(out, "404 Not Found", "", new byte[0]);
        }
        return true;
    }

    private void get(Map<String, String> query, OutputStream out) throws IOException {
        String from = query.getOrDefault("from", "");
        int limit = Math.min(MAX_ROWS, Integer.parseInt(query.getOrDefault("limit", "500")));
        List<Row> rows = new ArrayList<>();
        boolean hasMore;
        byte[] body;
        synchronized (this) {
            TreeMap<String, Row> all = tables.getOrDefault(query.get("table"), new TreeMap<>());
            all.tailMap(from, true).values().stream().limit(limit).forEach(rows::add);
            hasMore = all.tailMap(from, true).size() > rows.size();
            body = body(rows, ",\"has_more\":" + hasMore);
        }
        send(out, "200 OK", "Content-Type: application/json\r\n", body);
        onPage.served(query.get("table"), from, hasMore);
    }

    private synchronized byte[] feed(Map<String, String> query) throws InterruptedException {
        String table = query.get("table");
        long after = Long.parseLong(query.get("after"));
        long end = System.currentTimeMillis() + Long.parseLong(query.get("wait_ms"));
        List<Row> rows = changes(table, after);
        while (rows.isEmpty()) {
            long left = end - System.currentTimeMillis();
            if (left <= 0) break;
            wait(left);
            rows = changes(table, after);
        }
        return body(rows, "");
    }

    private List<Row> changes(String table, long after) {
        return history.stream().filter(r -> r.table.equals(table) && r.version > after).toList();
    }

    private byte[] body(List<Row> rows, String more) {
        String list = String.join(",", rows.stream().map(Row::json).toList());
        String text = "{\"rows\":[" + list + "]" + more + ",\"schema_version\":" + version
            + ",\"now_ms\":" + System.nanoTime() / 1_000_000 + "}";
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static Map<String, String> query(String target) {
        Map<String, String> fields = new HashMap<>();
        int mark = target.indexOf('?');
        if (mark < 0) return fields;
        for (String pair : target.substring(mark + 1).split("&")) {
            String[] parts = pair.split("=", 2);
            fields.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
        }
        return fields;
    }
}
