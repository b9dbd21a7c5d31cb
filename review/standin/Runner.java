import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** A runner of the platform; a case overrides what it does with a request that it accepts. */
abstract class Runner extends Listener {
    static final long BORN = System.currentTimeMillis();
    private static final AtomicInteger STAMPS = new AtomicInteger();

    final String id;
    final String service;
    final Record record;

    Runner(String id, String service, Record record) throws IOException {
        this.id = id;
        this.service = service;
        this.record = record;
    }

    void register(Store store, String state) {
        store.put("servers", id, Site.server(service, address(), slots(), state, BORN));
        record.line(id, "registered as " + state);
    }

    int slots() {
        return service.equals(Site.LLM) ? 64 : 6;
    }

    /** Answers a request that is meant for this runner; returns whether the connection is kept. */
    abstract boolean serve(Message request, Socket socket, OutputStream out) throws Exception;

    @Override
    boolean handle(Message request, Socket socket, OutputStream out) throws Exception {
        if (request.target().equals("/api/report")) {
            String report = "{\"stage\":\"both\",\"models\":[" + (service.equals(Site.LLM)
                ? "{\"name\":\"m\",\"version\":1,\"adapters\":[]}" : "")
                + "],\"busy\":false,\"seq\":2,\"queued\":0,\"running\":1,\"kv_used\":1000,"
                + "\"kv_total\":55000,\"handles\":0,\"born\":" + BORN + "}";
            send(out, "200 OK", "Content-Type: application/json\r\n", bytes(report));
            return true;
        }
        if (request.target().equals("/health")) {
            send(out, "200 OK", "Instance-Id: " + id + "\r\n", new byte[0]);
            return true;
        }
        String expected = request.header("Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            record.line(id, "got " + request.header("Attempt-Id") + " for another, answers 421");
            send(out, "421 Misdirected Request", echo(request) + "Instance-Id: " + id + "\r\n",
                new byte[0]);
            return true;
        }
        return serve(request, socket, out);
    }

    static String echo(Message request) {
        return "Attempt-Id: " + request.header("Attempt-Id") + "\r\n";
    }

    static String stamp() {
        return "Answer-Stamp: 3e1b.07." + STAMPS.incrementAndGet() + "\r\n";
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
