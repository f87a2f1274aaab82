import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One gatherer as a process of its own, started with the command {@code run} of the deploy file. */
final class Gatherer implements AutoCloseable {

    private static final List<Process> STARTED = new CopyOnWriteArrayList<>();

    final Process process;
    final Path log;

    /** Starts a gatherer by the configuration in a file; {@code state} is its TMPDIR. */
    Gatherer(Path root, Path config, Path state, Path log, Map<String, String> variables) throws IOException {
        this.log = log;
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        if (!run.find()) {
            throw new IOException("no command run in the deploy file");
        }
        Files.createDirectories(state);
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1)).directory(root.toFile());
        Map<String, String> env = builder.environment();
        env.keySet().removeIf(name -> name.startsWith("EDGE_"));
        env.putAll(new HashMap<>(variables));
        env.put("EDGE_CONFIG", config.toString());
        env.put("TMPDIR", state.toString());
        process = builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
        STARTED.add(process);
    }

    /** Ends all processes that were started. */
    static void endAll() {
        STARTED.forEach(Process::destroyForcibly);
    }

    /**
     * Returns an address that is free now. Its host is drawn from the loopback range, so that no client of another play takes the
     * port for its end of a connection.
     */
    static String freeAddress() throws IOException {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        String host = "127." + random.nextInt(1, 250) + '.' + random.nextInt(1, 250) + '.' + random.nextInt(1, 250);
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return host + ':' + socket.getLocalPort();
        }
    }

    /** Waits until a call is answered with 200. */
    boolean awaitReady(String address, String target, double timeoutS) throws InterruptedException {
        double until = Clock.now() + timeoutS;
        while (Clock.now() < until && process.isAlive()) {
            try (HttpCaller caller = new HttpCaller(address)) {
                if (caller.call("GET", target, "", "", 1).status() == 200) {
                    return true;
                }
            } catch (IOException e) {
                // Not ready.
            }
            Clock.sleep(0.05);
        }
        return false;
    }

    /** Sends SIGHUP. */
    void reload() throws IOException, InterruptedException {
        new ProcessBuilder("/bin/sh", "-c", "kill -HUP " + process.pid()).start().waitFor();
    }

    /** Sends SIGTERM. */
    void terminate() {
        process.destroy();
    }

    @Override
    public void close() {
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
