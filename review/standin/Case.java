import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** The frame of a case: the store with a configuration, a record, a temporary folder. */
abstract class Case {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    Record record;
    Store store;
    Path root;
    Path folder;

    /** Plays the case and returns its exit code. */
    abstract int play() throws Exception;

    static void run(Case instance, String[] args) {
        int code = COULD_NOT_RUN;
        Path folder = null;
        try {
            instance.root = Path.of(args[0]).toAbsolutePath();
            folder = Files.createTempDirectory("review");
            instance.folder = folder;
            try (Record record = new Record(Path.of(args[1]).resolve("record.txt"))) {
                instance.record = record;
                record.line("case", instance.hasTrouble ? "with the disruption" : "TROUBLE=0");
                instance.store = new Store();
                instance.store.start();
                instance.store.put("op", "config", Site.config(1, List.of(Site.KEY)));
                code = instance.play();
                record.line("case", "exit code " + code);
            }
        } catch (Exception e) {
            e.printStackTrace();
        }
        if (System.getenv("KEEP_LOGS") == null) delete(folder);
        else System.out.println(folder);
        Runtime.getRuntime().halt(exit(code));
    }

    private static int exit(int code) {
        System.out.println(code == HELD ? "held" : code == BROKEN ? "broken" : "could not run");
        return code;
    }

    private static void delete(Path folder) {
        if (folder == null) return;
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        } catch (java.io.IOException e) {
            System.err.println("temporary folder not removed: " + e);
        }
    }

    /** Starts a node and waits until it is ready. */
    Node startNode(String name) throws Exception {
        Node node = new Node(root, folder, record, name, store.address());
        node.start();
        if (!node.awaitReady(20)) throw new IllegalStateException(name + " does not get ready");
        return node;
    }
}
