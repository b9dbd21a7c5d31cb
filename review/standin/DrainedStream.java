import java.util.ArrayList;
import java.util.List;

/**
 * A node gets SIGTERM while engines read prompts. Checks that no stream that the node breaks off at
 * the end of its grace looks complete to its client.
 */
final class DrainedStream extends Case {
    private static final int STREAMS = 4;
    private static final int PREFILL_MILLIS = 1000;
    private static final int EVENTS = 190;
    private static final int GAP_MILLIS = 45;

    public static void main(String[] args) {
        run(new DrainedStream(), args);
    }

    @Override
    int play() throws Exception {
        for (int i = 1; i <= 2; i++) {
            Engine engine = new Engine("i-llm-" + i, record, PREFILL_MILLIS, EVENTS, GAP_MILLIS);
            engine.start();
            engine.register(store, "ready");
        }
        try (Node node = startNode("front-1")) {
            List<Caller.Answer> answers = new ArrayList<>();
            List<Thread> threads = new ArrayList<>();
            for (int i = 1; i <= STREAMS; i++) {
                String id = "9c41d07be2a35f0" + i;
                threads.add(Listener.daemon(() -> {
                    Caller.Answer answer = stream(node, id);
                    synchronized (answers) {
                        answers.add(answer);
                    }
                }));
            }
            Thread.sleep(PREFILL_MILLIS / 2);
            if (hasTrouble) node.terminate();
            for (Thread thread : threads) thread.join();
            record.line("case", "process alive: " + node.process.isAlive());
            return judge(answers);
        }
    }

    private Caller.Answer stream(Node node, String id) throws Exception {
        try (Caller caller = new Caller(node, 30_000)) {
            record.line("client", "sends stream " + id);
            Caller.Answer answer =
                caller.call("POST", Site.STREAM + "2f", Site.streamHeaders(id, 25_000), new byte[200]);
            record.line("client", id + " got " + answer + ", last event " + lastEvent(answer.text())
                + " of " + EVENTS + ", Connection: " + answer.head.header("Connection"));
            return answer;
        }
    }

    private int judge(List<Caller.Answer> answers) {
        if (answers.size() < STREAMS || answers.stream().anyMatch(a -> a.status != 200)) {
            return COULD_NOT_RUN;
        }
        long broken = answers.stream()
            .filter(a -> a.isComplete && lastEvent(a.text()) < EVENTS && a.text().endsWith("\n\n"))
            .count();
        record.line("case", broken + " of " + STREAMS + " streams ended as complete before their "
            + "last event");
        return broken > 0 ? BROKEN : HELD;
    }

    static int lastEvent(String text) {
        int at = text.lastIndexOf("id: ");
        return at < 0 ? 0 : Integer.parseInt(text.substring(at + 4, text.indexOf('\n', at)));
    }
}
