import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A sound plain service: runs each call for some milliseconds and answers with its stamp. */
class Desk extends Runner {
    /** A call that this runner began to run, and when. */
    record Run(String attempt, String target, long atNanos) {}

    static final int WORK_MILLIS = 60;
    final List<Run> runs = new CopyOnWriteArrayList<>();

    Desk(String id, Record record) throws IOException {
        super(id, Site.DESK, record);
    }

    @Override
    boolean serve(Message request, Socket socket, OutputStream out) throws Exception {
        String attempt = request.header("Attempt-Id");
        runs.add(new Run(attempt, request.target(), System.nanoTime()));
        record.line(id, "runs " + request.method() + " " + request.target() + " " + attempt);
        Thread.sleep(WORK_MILLIS);
        send(out, "200 OK", echo(request) + stamp(), bytes("done by " + id + "\n"));
        return true;
    }
}
