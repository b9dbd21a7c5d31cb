import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A node starts and reads a table of servers that takes two answers of the store. Between them a
 * runner reports that it drains. Checks that the node sends it nothing later than drain_ms after
 * that, and that no call is lost when it leaves.
 */
final class MissedChange extends Case {
    private static final int OTHER_SERVERS = 520;
    private static final int DRAIN_MILLIS = 2000;
    private static final int CONTACT_MILLIS = 3000;
    private static final int CLIENTS = 6;
    private static final int CLIENT_MILLIS = 6000;

    /** How long after its report the runner leaves, well above drain_ms. */
    private static final int LEAVES_MILLIS = 9000;

    public static void main(String[] args) {
        run(new MissedChange(), args);
    }

    private final List<Integer> statuses = new ArrayList<>();

    @Override
    int play() throws Exception {
        Desk leaving = new Desk("i-desk-1", record);
        Desk first = new Desk("i-desk-2", record);
        Desk second = new Desk("i-desk-3", record);
        for (Desk desk : List.of(leaving, first, second)) {
            desk.start();
            desk.register(store, "ready");
        }
        // Servers of a service that no route names.
        for (int i = 0; i < OTHER_SERVERS; i++) {
            store.put("servers", String.format("i-other-%04d", i),
                Site.server("other", "127.0.0.1:9", 6, "ready", Runner.BORN));
        }
        AtomicBoolean hasLeft = new AtomicBoolean();
        long[] acknowledged = new long[1];
        store.onPage = (table, from, hasMore) -> {
            if (!table.equals("servers")) return;
            record.line("store", "answered a part of the servers, has_more " + hasMore);
            if (hasTrouble && hasMore && !hasLeft.getAndSet(true)) {
                leaving.register(store, "draining");
                acknowledged[0] = System.nanoTime();
            }
        };
        try (Node node = startNode("front-1")) {
            Thread.sleep(CONTACT_MILLIS + 500);
            if (!hasTrouble) {
                leaving.register(store, "draining");
                acknowledged[0] = System.nanoTime();
                Thread.sleep(DRAIN_MILLIS);
            }
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                String name = "client" + i;
                threads.add(Listener.daemon(() -> callUntilEnd(node, name)));
            }
            long leavesAt = acknowledged[0] + LEAVES_MILLIS * 1_000_000L;
            Thread.sleep(Math.max(0, (leavesAt - System.nanoTime()) / 1_000_000L));
            record.line(leaving.id, "leaves: its row is removed, its process ends");
            store.put("servers", leaving.id, (byte[]) null);
            leaving.close();
            for (Thread thread : threads) thread.join();
            return judge(leaving, acknowledged[0]);
        }
    }

    private void callUntilEnd(Node node, String name) throws Exception {
        long end = System.nanoTime() + CLIENT_MILLIS * 1_000_000L;
        for (int i = 1; System.nanoTime() < end; i++) {
            try (Caller caller = new Caller(node, 3000)) {
                Caller.Answer answer = caller.call("POST", Site.BOOK + "2f",
                    Site.headers(name + "-" + i, 1500, Site.KEY), Runner.bytes("slot 7"));
                record.line(name, name + "-" + i + " got status " + answer.status);
                synchronized (statuses) {
                    statuses.add(answer.status);
                }
            }
        }
    }

    private int judge(Desk leaving, long acknowledged) {
        long late = leaving.runs.stream()
            .filter(r -> r.atNanos() - acknowledged > DRAIN_MILLIS * 1_000_000L).count();
        long failed = statuses.stream().filter(s -> s != 200).count();
        record.line("case", late + " calls reached the draining runner later than " + DRAIN_MILLIS
            + " ms after its report; " + failed + " of " + statuses.size() + " calls were not served");
        if (statuses.isEmpty()) return COULD_NOT_RUN;
        return late > 0 ? BROKEN : HELD;
    }
}
