import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Two runners are full for a moment and reject a call; one of them sends its rejection a second
 * time, late, where the answer to the next request is expected. Checks that no call that may run
 * once runs twice.
 */
final class LateRejection extends Case {
    private static final int ROUNDS = 2;

    /** One late copy in more than this many answers is less than the share of 0.03. */
    private static final int ANSWERS_FOR_A_COPY = 40;
    private static final int MAX_CALLS_BETWEEN = 600;
    private static final int WORK_MILLIS = 10;
    private static final int FULL_MILLIS = 60;

    public static void main(String[] args) {
        run(new LateRejection(), args);
    }

    /** A service that rejects calls as a full one does: its next one, or those of a short time. */
    private final class FullDesk extends Desk {
        private final boolean isFaulty;
        final AtomicBoolean isFull = new AtomicBoolean();
        volatile long fullUntil;
        private final Map<Socket, byte[]> lateCopies = new ConcurrentHashMap<>();
        int answers;
        int extras;

        FullDesk(String id, Record record, boolean isFaulty) throws IOException {
            super(id, record);
            this.isFaulty = isFaulty;
        }

        synchronized boolean mayCopy() {
            return answers >= ANSWERS_FOR_A_COPY * (extras + 1);
        }

        @Override
        boolean serve(Message request, Socket socket, OutputStream out) throws Exception {
            String attempt = request.header("Attempt-Id");
            byte[] copy = lateCopies.remove(socket);
            if (copy != null) {
                record.line(id, "sends its last rejection once more as " + attempt + " arrives");
                out.write(copy);
                out.flush();
                synchronized (this) {
                    extras++;
                }
            }
            synchronized (this) {
                answers++;
            }
            if (isFull.getAndSet(false) || System.nanoTime() < fullUntil) {
                record.line(id, "is full, rejects " + attempt);
                byte[] rejection = bytes("HTTP/1.1 503 Service Unavailable\r\n" + echo(request)
                    + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                out.write(rejection);
                out.flush();
                if (isFaulty && hasTrouble) lateCopies.put(socket, rejection);
                return true;
            }
            runs.add(new Run(attempt, request.target(), System.nanoTime()));
            record.line(id, "runs " + request.target() + " " + attempt);
            Thread.sleep(WORK_MILLIS);
            send(out, "200 OK", echo(request) + stamp(), bytes("done by " + id + "\n"));
            return true;
        }
    }

    @Override
    int play() throws Exception {
        FullDesk faulty = new FullDesk("i-desk-1", record, true);
        FullDesk sound = new FullDesk("i-desk-2", record, false);
        for (Desk desk : List.of(faulty, sound)) {
            desk.start();
            desk.register(store, "ready");
        }
        int bad = 0;
        int played = 0;
        try (Node node = startNode("front-1"); Caller caller = new Caller(node, 3000)) {
            for (int round = 1; round <= ROUNDS; round++) {
                for (int i = 1; i <= MAX_CALLS_BETWEEN && !faulty.mayCopy(); i++) {
                    call(caller, round + "-" + i);
                }
                if (!faulty.mayCopy()) break;
                faulty.isFull.set(true);
                sound.fullUntil = System.nanoTime() + FULL_MILLIS * 1_000_000L;
                String id = round + "-full";
                int status = call(caller, id);
                long runs = runs(faulty, id) + runs(sound, id);
                record.line("case", id + " was answered " + status + " and ran " + runs + " times");
                if (runs > 1) bad++;
                faulty.isFull.set(false);
                played++;
            }
        }
        record.line("case", faulty.id + " sent " + faulty.answers + " answers and " + faulty.extras
            + " late copies; " + bad + " calls ran twice");
        if (played == 0) return COULD_NOT_RUN;
        return bad > 0 ? BROKEN : HELD;
    }

    private static long runs(Desk desk, String id) {
        return desk.runs.stream().filter(r -> r.attempt().equals(id)).count();
    }

    private int call(Caller caller, String id) throws Exception {
        Caller.Answer answer = caller.call("POST", Site.BOOK + "2f",
            Site.headers(id, 1500, Site.KEY), Runner.bytes("slot 7"));
        record.line("client", id + " got " + answer);
        return answer.status;
    }
}
