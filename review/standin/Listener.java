import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** An HTTP/1.1 server on a loopback address with a thread for each connection. */
abstract class Listener implements AutoCloseable {
    final ServerSocket server;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

    Listener() throws IOException {
        server = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
    }

    void start() {
        daemon(() -> {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                daemon(() -> serve(socket));
            }
        });
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Handles one request; returns whether the connection is kept. */
    abstract boolean handle(Message request, Socket socket, OutputStream out) throws Exception;

    private void serve(Socket socket) throws Exception {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                Message request = Message.readRequest(in);
                if (request == null || !handle(request, socket, out)) return;
            }
        } finally {
            sockets.remove(socket);
        }
    }

    static void send(OutputStream out, String status, String headers, byte[] body)
            throws IOException {
        String head = "HTTP/1.1 " + status + "\r\n" + headers
            + "Content-Length: " + body.length + "\r\n\r\n";
        byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[headBytes.length + body.length];
        System.arraycopy(headBytes, 0, all, 0, headBytes.length);
        System.arraycopy(body, 0, all, headBytes.length, body.length);
        out.write(all);
        out.flush();
    }

    /** Ends the server as a crash does: nothing listens, all connections close. */
    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : sockets) socket.close();
    }

    interface Task {
        void run() throws Exception;
    }

    static Thread daemon(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // The peer or the case has closed the connection.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
