package pepperdock.faultinjection.upgrade;

import java.io.IOException;
import java.io.InputStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import pepperdock.faultinjection.ChildProcessGuard;
import pepperdock.faultinjection.FaultyDisk;

/** One process of the gatherer: started, asked whether it is ready, and ended by signals. */
public final class GathererProcess {

    private static final int CALL_TIMEOUT_MS = 1000;
    private static final int MIN_PORT = 15_000;
    private static final int MAX_PORT = 32_000;

    private final ChildProcessGuard guard;
    private final Process process;
    private final int operatorPort;
    private final Path log;
    private final double startedAtS = MonotonicClock.now();

    /**
     * Starts a process by {@code config.json} in a folder, whose subfolder {@code state} is its folder for lasting
     * state.
     *
     * @param command the command of one gatherer; its first word is the JVM
     * @param faultyDisk whether the process runs on a {@link FaultyDisk}
     */
    public GathererProcess(ChildProcessGuard guard, List<String> command, Path folder, String name, boolean faultyDisk)
            throws IOException {
        this.guard = guard;
        operatorPort = freePort();
        log = folder.resolve(name + ".log");
        List<String> commandLine = faultyDisk ? FaultyDisk.commandWithFaults(command, folder) : command;
        ProcessBuilder builder = new ProcessBuilder(commandLine);
        builder.environment().keySet().removeIf(key -> key.startsWith("EDGE_"));
        builder.environment().put("EDGE_CONFIG", folder.resolve("config.json").toString());
        builder.environment().put("EDGE_OPERATOR", "127.0.0.1:" + operatorPort);
        builder.environment()
                .put("TMPDIR", folder.resolve(FaultyDisk.STATE_FOLDER).toString());
        process = builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
        guard.add(process.pid());
    }

    /**
     * Returns a port of the loopback address that is free now. It is below the ports that the kernel hands out: one of
     * those could be taken by any connection before the gatherer listens on it.
     */
    public static int freePort() throws IOException {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
            try (ServerSocket free = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return free.getLocalPort();
            } catch (BindException e) {
                // In use: try another one.
            }
        }
    }

    /** Returns the process id. */
    public long pid() {
        return process.pid();
    }

    double startedAtS() {
        return startedAtS;
    }

    /** Returns whether the process has not ended. */
    public boolean isAlive() {
        return process.isAlive();
    }

    /** Returns the log so far. */
    public String log() throws IOException {
        return Files.readString(log);
    }

    /** Returns whether the process says that it is ready; no answer counts as no. */
    public boolean isReady() {
        try {
            return call("GET /-/ready").startsWith("HTTP/1.1 200");
        } catch (IOException e) {
            return false;
        }
    }

    /** Makes a call of an operator and returns the whole response. */
    public String call(String request) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), operatorPort), CALL_TIMEOUT_MS);
            socket.setSoTimeout(CALL_TIMEOUT_MS);
            socket.getOutputStream().write((request + " HTTP/1.1\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            InputStream in = socket.getInputStream();
            return new String(in.readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    /** Sends a signal, by its name without {@code SIG}; has no effect on a process that has ended. */
    public void signal(String name) throws IOException {
        if (process.isAlive()) {
            guard.signal(name, List.of(process.pid()));
        }
    }

    /** Waits for the end of the process; returns whether it has ended within {@code timeoutS}. */
    public boolean awaitEnd(double timeoutS) throws IOException, InterruptedException {
        boolean ended = process.waitFor((long) (timeoutS * 1e3), TimeUnit.MILLISECONDS);
        if (ended) {
            guard.gone(process.pid());
        }
        return ended;
    }
}
