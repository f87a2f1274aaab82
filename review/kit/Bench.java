import java.io.BufferedWriter;
import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * What all cases share: the record, the project's processes, free loopback ports and a temporary folder. Everything
 * that was started is ended in {@link #close}, also if the driver is interrupted.
 */
final class Bench implements Closeable {

    /** Exit codes of a case. */
    static final int HELD = 0;

    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    /** Loopback host of all addresses. */
    static final String HOST = "127.0.0.1";

    private static final double READY_TIMEOUT_S = 30;

    /** Whether the disruption takes place. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    private final Path root;
    private final Path temporary;
    private final BufferedWriter record;
    private final long startedNanos = System.nanoTime();
    private final List<Process> processes = new ArrayList<>();
    private int gatherers;
    private boolean recordClosed;

    /** Opens {@code record.txt} in the folder of the case, below the repository's root. */
    Bench(String caseFolder) throws IOException {
        root = Path.of("").toAbsolutePath();
        record = Files.newBufferedWriter(root.resolve(caseFolder).resolve("record.txt"));
        temporary = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        note("TROUBLE=%d", trouble ? 1 : 0);
    }

    /** Returns the seconds since the start of the case. */
    double now() {
        return (System.nanoTime() - startedNanos) / 1e9;
    }

    /** Writes a line to the record, with the time in seconds. */
    synchronized void note(String format, Object... arguments) {
        if (recordClosed) {
            return;
        }
        String line = String.format("%9.4f ", now()) + String.format(format, arguments);
        try {
            record.write(line);
            record.newLine();
            record.flush();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns a port that was free just now. */
    static int freePort() throws IOException {
        try (ServerSocket probe = new ServerSocket()) {
            probe.bind(new InetSocketAddress(InetAddress.getByName(HOST), 0));
            return probe.getLocalPort();
        }
    }

    /** Returns a new empty folder inside the temporary one. */
    Path folder(String name) throws IOException {
        return Files.createDirectories(temporary.resolve(name));
    }

    /** Deletes the files in a folder of the temporary one. */
    void empty(String name) throws IOException {
        try (Stream<Path> files = Files.list(temporary.resolve(name))) {
            for (Path path : files.toList()) {
                Files.delete(path);
            }
        }
    }

    /** Writes a configuration file and returns its path. */
    Path file(String name, String text) throws IOException {
        return Files.writeString(temporary.resolve(name), text);
    }

    /** Starts one gatherer with the deploy file's command {@code run}. */
    Process startGatherer(String name, Path config, Map<String, String> environment) throws IOException {
        String command = null;
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            Matcher run = Pattern.compile("run\\s*=\\s*\"(.*)\"\\s*").matcher(line);
            command = run.matches() ? run.group(1) : command;
        }
        if (command == null) {
            throw new IOException("deploy/balancer.toml has no command run");
        }
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command).directory(root.toFile());
        builder.environment().keySet().removeIf(key -> key.startsWith("EDGE_"));
        builder.environment().put("EDGE_CONFIG", config.toString());
        builder.environment().put("EDGE_NAME", name);
        builder.environment().put("TMPDIR", folder("tmp-" + name + "-" + gatherers++).toString());
        builder.environment().putAll(environment);
        Path log = temporary.resolve(name + ".log");
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        Process process = builder.start();
        synchronized (processes) {
            processes.add(process);
        }
        note("gatherer %s started", name);
        return process;
    }

    /** Sends a signal to a process that this bench started. */
    void signal(String name, Process process) throws IOException, InterruptedException {
        note("SIG%s to the gatherer", name);
        new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
    }

    /** Waits until a GET of the path is answered with 200; throws if that takes too long. */
    void awaitReady(int port, String path) throws IOException, InterruptedException {
        double until = now() + READY_TIMEOUT_S;
        while (now() < until) {
            try (HttpCaller caller = new HttpCaller(port)) {
                HttpCaller.Answer answer = caller.call("GET", path, "", "", 1);
                if (answer != null && answer.status() == 200) {
                    note("ready on port %d", port);
                    return;
                }
            } catch (IOException e) {
                // Not listening yet.
            }
            Thread.sleep(50);
        }
        throw new IOException("not ready within " + READY_TIMEOUT_S + " s");
    }

    /** Copies the log of a gatherer to the record. */
    void noteLog(String name) throws IOException {
        Path log = temporary.resolve(name + ".log");
        if (Files.exists(log)) {
            for (String line : Files.readAllLines(log)) {
                note("log of %s: %s", name, line);
            }
        }
    }

    private void endProcesses() {
        synchronized (processes) {
            for (Process process : processes) {
                process.destroyForcibly();
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
            processes.clear();
        }
    }

    @Override
    public void close() throws IOException {
        endProcesses();
        try (Stream<Path> files = Files.walk(temporary)) {
            for (Path path : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(path);
            }
        }
        synchronized (this) {
            recordClosed = true;
            record.close();
        }
    }

    /** One case: it returns whether the rule held. */
    interface Case {
        boolean play(Bench bench) throws Exception;
    }

    /** Plays a case and exits with its code. */
    static void run(String caseFolder, Case played) {
        int code = COULD_NOT_RUN;
        try (Bench bench = new Bench(caseFolder)) {
            try {
                code = played.play(bench) ? HELD : BROKEN;
                bench.note(code == HELD ? "HELD" : "BROKEN");
            } catch (Exception e) {
                bench.note("could not run: %s", e);
            }
        } catch (IOException e) {
            System.err.println("could not run: " + e);
        }
        System.out.println(code == HELD ? "held" : code == BROKEN ? "broken" : "could not run");
        System.exit(code);
    }
}
