import java.util.Arrays;
import java.util.List;

/**
 * Another writer puts a row that can't be read among the servers. Checks that the node still follows
 * the configuration and the servers: a key that was added later is accepted, one that was taken
 * away is not, and a draining runner gets no calls.
 */
final class UnreadableRow extends Case {
    private static final int ROW_BYTES = 2000;
    private static final int CONFIG_APPLY_MILLIS = 2000;
    private static final int DRAIN_MILLIS = 2000;
    private static final int MARGIN_MILLIS = 1000;
    private static final int CALLS = 20;
    private static final String NEW_KEY = "k2zz4hq0vbn8rt1mw6ye";

    public static void main(String[] args) {
        run(new UnreadableRow(), args);
    }

    @Override
    int play() throws Exception {
        Desk leaving = new Desk("i-desk-1", record);
        Desk staying = new Desk("i-desk-2", record);
        for (Desk desk : List.of(leaving, staying)) {
            desk.start();
            desk.register(store, "ready");
        }
        try (Node node = startNode("front-1")) {
            if (call(node, "a0", Site.KEY) != 200) return COULD_NOT_RUN;
            if (hasTrouble) {
                byte[] row = new byte[ROW_BYTES];
                Arrays.fill(row, (byte) '[');
                store.put("servers", "i-another-writer", row);
                record.line("store", "has a row of " + ROW_BYTES + " bytes that can't be read");
                Thread.sleep(500);
            }
            store.put("op", "config", Site.config(2, List.of(NEW_KEY)));
            record.line("store", "acknowledged version 2: key " + Site.KEY + " is dropped, "
                + NEW_KEY + " is added");
            leaving.register(store, "draining");
            long acknowledged = System.nanoTime();
            Thread.sleep(Math.max(CONFIG_APPLY_MILLIS, DRAIN_MILLIS) + MARGIN_MILLIS);
            int old = 0;
            int refused = 0;
            for (int i = 1; i <= CALLS; i++) {
                if (call(node, "b" + i, Site.KEY) == 200) old++;
                if (call(node, "c" + i, NEW_KEY) == 401) refused++;
            }
            long late = leaving.runs.stream()
                .filter(r -> r.atNanos() - acknowledged > DRAIN_MILLIS * 1_000_000L).count();
            record.line("case", old + " of " + CALLS + " calls ran with a dropped key, " + refused
                + " with the added key were refused, " + late + " reached the draining runner late");
            record.line("case", "process alive: " + node.process.isAlive() + ", ready: "
                + node.isReady());
            if (hasTrouble) restart();
            return old + refused + late > 0 ? BROKEN : HELD;
        }
    }

    /** Records whether a node that starts while the row is there gets ready; judges nothing. */
    private void restart() throws Exception {
        try (Node second = new Node(root, folder, record, "front-2", store.address())) {
            second.start();
            record.line("front-2", "started beside the row, ready within 15 s: "
                + second.awaitReady(15));
        }
    }

    private int call(Node node, String id, String key) throws Exception {
        try (Caller caller = new Caller(node, 3000)) {
            Caller.Answer answer = caller.call("POST", Site.BOOK + "2f",
                Site.headers(id, 1500, key), Runner.bytes("slot 7"));
            record.line("client", id + " with key " + key + " got status " + answer.status);
            return answer.status;
        }
    }
}
