import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound model runner: reads the prompt, then sends events with increasing ids in chunks. */
final class Engine extends Runner {
    private final int prefillMillis;
    private final int events;
    private final int gapMillis;
    final AtomicInteger started = new AtomicInteger();

    Engine(String id, Record record, int prefillMillis, int events, int gapMillis)
            throws IOException {
        super(id, Site.LLM, record);
        this.prefillMillis = prefillMillis;
        this.events = events;
        this.gapMillis = gapMillis;
    }

    @Override
    boolean serve(Message request, Socket socket, OutputStream out) throws Exception {
        String attempt = request.header("Attempt-Id");
        String last = request.header("Last-Event-Id");
        int first = last == null ? 1 : Integer.parseInt(last) + 1;
        record.line(id, "got stream " + attempt + " from event " + first);
        Thread.sleep(prefillMillis);
        started.incrementAndGet();
        out.write(bytes("HTTP/1.1 200 OK\r\n" + echo(request) + stamp()
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
        try {
            for (int i = first; i <= events; i++) {
                byte[] event = bytes("id: " + i + "\ndata: tokens of event " + i + "\n\n");
                out.write(bytes(Integer.toHexString(event.length) + "\r\n"));
                out.write(event);
                out.write(bytes("\r\n"));
                out.flush();
                Thread.sleep(gapMillis);
            }
        } catch (IOException e) {
            record.line(id, "stream " + attempt + " was closed by the node");
            throw e;
        }
        out.write(bytes("0\r\n\r\n"));
        out.flush();
        record.line(id, "stream " + attempt + " ended after event " + events);
        return true;
    }
}
