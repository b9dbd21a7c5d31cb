import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some clients close their connection in the middle of a stream. Checks that no more than a few
 * requests reach an engine later than half a second after their client has left.
 */
final class LeftStreams extends Case {
    private static final int ENGINES = 6;
    private static final int EVENTS = 140;
    private static final int GAP_MILLIS = 6;
    private static final int CLIENTS = 12;
    private static final int PLAY_MILLIS = 75_000;
    private static final int AFTER_MILLIS = 10_000;
    private static final int DEADLINE_MILLIS = 25_000;
    private static final double LEAVE_SHARE = 0.3;
    private static final int LATE_MILLIS = 500;

    /** More than a few. */
    private static final int FEW = 5;

    public static void main(String[] args) {
        run(new LeftStreams(), args);
    }

    private final Map<String, Long> leftAt = new ConcurrentHashMap<>();
    private final AtomicInteger streams = new AtomicInteger();
    private final AtomicInteger late = new AtomicInteger();
    private final Set<String> lateStreams = ConcurrentHashMap.newKeySet();

    private final class Watched extends Runner {
        Watched(String id) throws IOException {
            super(id, Site.LLM, LeftStreams.this.record);
        }

        @Override
        boolean serve(Message request, Socket socket, OutputStream out) throws Exception {
            String attempt = request.header("Attempt-Id");
            Long left = leftAt.get(attempt);
            long since = left == null ? 0 : (System.nanoTime() - left) / 1_000_000L;
            if (since > LATE_MILLIS) {
                record.line(id, "got " + attempt + " " + since + " ms after its client had left");
                late.incrementAndGet();
                lateStreams.add(attempt);
            }
            String last = request.header("Last-Event-Id");
            int first = last == null ? 1 : Integer.parseInt(last) + 1;
            out.write(bytes("HTTP/1.1 200 OK\r\n" + echo(request) + stamp()
                + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
            for (int i = first; i <= EVENTS; i++) {
                String event = "id: " + i + "\ndata: tokens of event " + i + "\n\n";
                out.write(bytes(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n"));
                out.flush();
                Thread.sleep(GAP_MILLIS);
            }
            out.write(bytes("0\r\n\r\n"));
            out.flush();
            return true;
        }
    }

    @Override
    int play() throws Exception {
        for (int i = 1; i <= ENGINES; i++) {
            Watched engine = new Watched("i-llm-" + i);
            engine.start();
            engine.register(store, "ready");
        }
        try (Node node = startNode("front-1")) {
            long end = System.nanoTime() + PLAY_MILLIS * 1_000_000L;
            List<Thread> threads = new ArrayList<>();
            for (int i = 1; i <= CLIENTS; i++) {
                String name = "client-" + i;
                threads.add(Listener.daemon(() -> {
                    for (int n = 1; System.nanoTime() < end; n++) stream(node, name + "-" + n);
                }));
            }
            for (Thread thread : threads) thread.join();
            Thread.sleep(AFTER_MILLIS);
        }
        record.line("case", streams + " streams, " + leftAt.size() + " clients left; " + late
            + " requests reached an engine later than " + LATE_MILLIS + " ms after that, of "
            + lateStreams.size() + " streams");
        if (hasTrouble && leftAt.isEmpty()) return COULD_NOT_RUN;
        return late.get() > FEW ? BROKEN : HELD;
    }

    private void stream(Node node, String id) throws Exception {
        boolean leaves = hasTrouble && ThreadLocalRandom.current().nextDouble() < LEAVE_SHARE;
        try (Caller caller = new Caller(node, 30_000)) {
            streams.incrementAndGet();
            caller.send("POST", Site.STREAM + "2f", Site.streamHeaders(id, DEADLINE_MILLIS),
                new byte[200]);
            if (leaves) {
                Thread.sleep(ThreadLocalRandom.current().nextInt(EVENTS * GAP_MILLIS));
                caller.close();
                leftAt.put(id, System.nanoTime());
            } else {
                Caller.Answer answer = caller.readAnswer();
                if (!answer.isComplete) record.line("client", id + " got " + answer);
            }
        }
    }
}
