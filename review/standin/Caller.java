import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client: one connection to a node, on which requests are sent one after the other. */
final class Caller implements AutoCloseable {
    private static final int CONNECT_MILLIS = 1000;

    /** What a client saw of one answer; isComplete by the framing of HTTP/1.1 alone. */
    static final class Answer {
        int status;
        Message head;
        byte[] body = new byte[0];
        boolean isComplete;
        String framing = "none";
        String end = "";

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }

        @Override
        public String toString() {
            return "status " + status + ", framing " + framing + ", " + body.length + " bytes, "
                + (isComplete ? "complete" : "not complete") + (end.isEmpty() ? "" : ", " + end);
        }
    }

    private final Socket socket = new Socket();
    private final InputStream in;

    Caller(Node node, int readMillis) throws IOException {
        this(node.ip, node.front, readMillis);
    }

    private Caller(String host, int port, int readMillis) throws IOException {
        socket.connect(new InetSocketAddress(host, port), CONNECT_MILLIS);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(readMillis);
        in = new BufferedInputStream(socket.getInputStream());
    }

    static Answer get(String host, int port, String target) throws IOException {
        try (Caller caller = new Caller(host, port, 2000)) {
            return caller.call("GET", target, "Host: status\r\n", new byte[0]);
        }
    }

    Answer call(String method, String target, String headers, byte[] body) throws IOException {
        send(method, target, headers, body);
        return readAnswer();
    }

    void send(String method, String target, String headers, byte[] body) throws IOException {
        String length = body.length > 0 || method.equals("POST")
            ? "Content-Length: " + body.length + "\r\n" : "";
        String head = method + " " + target + " HTTP/1.1\r\n" + headers + length + "\r\n";
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.write(head.getBytes(StandardCharsets.ISO_8859_1));
        bytes.write(body);
        socket.getOutputStream().write(bytes.toByteArray());
        socket.getOutputStream().flush();
    }

    Answer readAnswer() {
        Answer answer = new Answer();
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            answer.head = Message.readHead(in);
            if (answer.head == null) throw new EOFException("closed without an answer");
            answer.status = answer.head.status();
            readBody(answer, body);
            answer.isComplete = true;
        } catch (IOException e) {
            answer.end = e.toString();
        }
        answer.body = body.toByteArray();
        return answer;
    }

    private void readBody(Answer answer, ByteArrayOutputStream body) throws IOException {
        String length = answer.head.header("Content-Length");
        if (length != null) {
            answer.framing = "length";
            body.write(Message.readExactly(in, Integer.parseInt(length)));
        } else if (answer.head.header("Transfer-Encoding") != null) {
            answer.framing = "chunks";
            body.write(Message.readChunks(in));
        } else {
            answer.framing = "end of the connection";
            byte[] buffer = new byte[8192];
            // A reset throws an exception; an orderly close returns -1.
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) body.write(buffer, 0, n);
            answer.end = "closed in order";
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
