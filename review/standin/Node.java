import java.io.File;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A process of the system, started with the command and the template of the deploy file. */
final class Node implements AutoCloseable {
    private static final int FIRST_PORT = 20_000;
    private static final int LAST_PORT = 32_000;
    private static final int LOG_LINES = 5;
    private final Path root;
    private final Record record;
    private final String name;
    private final Path settings;
    final Path log;
    final String ip;
    final int front;
    final int ready;
    Process process;

    /** The ports of a machine, the same on all machines of a deployment. */
    record Ports(int front, int ready, int firstInternal, int lastInternal) {
        static Ports free() throws IOException {
            return new Ports(freePort(), freePort(), freePort(), freePort());
        }
    }

    Node(Path root, Path folder, Record record, String name, String store) throws IOException {
        this(root, folder, record, name, store, "127.0.0.1", Ports.free(), List.of());
    }

    Node(
        Path root, Path folder, Record record, String name, String store, String ip, Ports ports,
        List<String> seeds
    ) throws IOException {
        this.ip = ip;
        front = ports.front;
        ready = ports.ready;
        this.root = root;
        this.record = record;
        this.name = name;
        settings = folder.resolve(name + ".json");
        log = folder.resolve(name + ".log");
        Map<String, String> values = Map.ofEntries(
            Map.entry("node", Json.text(name)),
            Map.entry("ip", Json.text(ip)),
            Map.entry("zone", Json.text("zone-a")),
            Map.entry("listen.front", Json.text(ip + ":" + front)),
            Map.entry("listen.ready", Json.text(ip + ":" + ready)),
            Map.entry("internal_ports.0", "" + ports.firstInternal),
            Map.entry("internal_ports.1", "" + ports.lastInternal),
            Map.entry("platform.address", Json.text(store)),
            Map.entry("bounds.grace_s", "8"),
            Map.entry("bounds.contact_ms", "3000"),
            Map.entry("bounds.config_apply_ms", "2000"),
            Map.entry("bounds.drain_ms", "2000"),
            Map.entry("bounds.retry_budget_ratio", "0.8"),
            Map.entry("bounds.budget_window_s", "10"),
            Map.entry("bounds.budget_slack", "150"));
        Files.writeString(settings, render(Files.readString(root.resolve("deploy/settings.json")),
            values, seeds));
    }

    private static String render(String template, Map<String, String> values, List<String> seeds) {
        String list = String.join(",", seeds.stream().map(Json::text).toList());
        String text = template.replaceAll("\\{\\{#seeds}}.*?\\{\\{/seeds}}", list);
        Matcher matcher = Pattern.compile("\\{\\{([a-z0-9_.]+)\\|json}}").matcher(text);
        return matcher.replaceAll(m -> Matcher.quoteReplacement(values.get(m.group(1))));
    }

    void start() throws IOException {
        String deploy = Files.readString(root.resolve("deploy/system.toml"));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
        if (!run.find()) throw new IOException("no run command in deploy/system.toml");
        List<String> command = new ArrayList<>(List.of(run.group(1).split(" ")));
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("BILBERRYCART_SETTINGS", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.redirectInput(ProcessBuilder.Redirect.from(new File("/dev/null")));
        process = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        record.line("case", "started process " + name);
    }

    boolean isReady() {
        try {
            Caller.Answer answer = Caller.get(ip, ready, "/api/readiness");
            return answer.status == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Waits until the node says that it is ready. */
    boolean awaitReady(int seconds) throws IOException, InterruptedException {
        long end = System.nanoTime() + seconds * 1_000_000_000L;
        while (System.nanoTime() < end) {
            if (isReady()) {
                record.line(name, "is ready");
                return true;
            }
            Thread.sleep(50);
        }
        record.line(name, "is not ready; process alive: " + process.isAlive() + ", log:");
        List<String> lines = Files.readAllLines(log);
        for (String line : lines.subList(Math.max(0, lines.size() - LOG_LINES), lines.size())) {
            record.line(name, line);
        }
        return false;
    }

    /** Sends SIGTERM. */
    void terminate() {
        process.destroy();
        record.line("case", "SIGTERM to " + name);
    }

    @Override
    public void close() {
        if (process == null) return;
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns a free port below the range that the system gives to outgoing connections. */
    static int freePort() throws IOException {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
            try (ServerSocket socket =
                    new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return socket.getLocalPort();
            } catch (BindException e) {
                // In use: another one is drawn.
            }
        }
    }
}
