import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** The head of an HTTP/1.1 message, and helpers to read messages from a socket. */
final class Message {
    final String firstLine;
    final Map<String, String> headers = new LinkedHashMap<>();
    byte[] body = new byte[0];

    Message(String firstLine) {
        this.firstLine = firstLine;
    }

    String header(String name) {
        return headers.get(name.toLowerCase(Locale.ROOT));
    }

    String method() {
        return firstLine.split(" ")[0];
    }

    String target() {
        return firstLine.split(" ")[1];
    }

    int status() {
        return Integer.parseInt(firstLine.split(" ")[1]);
    }

    /** Reads a head; returns null if the input ends before its first byte. */
    static Message readHead(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) return null;
        Message message = new Message(first);
        while (true) {
            String line = readLine(in);
            if (line == null) throw new EOFException("end within a head");
            if (line.isEmpty()) return message;
            int colon = line.indexOf(':');
            if (colon < 0) throw new IOException("no header: " + line);
            message.headers.put(
                line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                line.substring(colon + 1).trim());
        }
    }

    /** Reads a request with its body; returns null at the end of the input. */
    static Message readRequest(InputStream in) throws IOException {
        Message message = readHead(in);
        if (message == null) return null;
        String length = message.header("Content-Length");
        if (length != null) message.body = readExactly(in, Integer.parseInt(length));
        else if (message.header("Transfer-Encoding") != null) message.body = readChunks(in);
        return message;
    }

    static byte[] readExactly(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) throw new EOFException("end within a body");
        return bytes;
    }

    static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String size = readLine(in);
            if (size == null) throw new EOFException("end before the last chunk");
            int count = Integer.parseInt(size.trim(), 16);
            body.write(readExactly(in, count));
            if (readLine(in) == null) throw new EOFException("end within a chunk");
            if (count == 0) return body.toByteArray();
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) return null;
        while (next >= 0 && next != '\n') {
            if (next != '\r') line.write(next);
            next = in.read();
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}
