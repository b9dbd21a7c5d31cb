import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;

/** The record of a case: what was sent, answered and run, with the time since its start. */
final class Record implements AutoCloseable {
    private final long start = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(file.toFile(), "UTF-8");
    }

    synchronized void line(String who, String text) {
        double seconds = (System.nanoTime() - start) / 1e9;
        String line = String.format("%8.3f %-10s %s", seconds, who, text);
        out.println(line);
        out.flush();
    }

    @Override
    public void close() {
        out.close();
    }
}
