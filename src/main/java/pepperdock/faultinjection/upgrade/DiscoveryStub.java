package pepperdock.faultinjection.upgrade;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Discovery of the platform, with faults. A fault applies to calls that begin while it is set; long polls that wait
 * already are answered as usual, as by a service that is too busy for new calls. Thread-safe.
 */
public final class DiscoveryStub extends StubServer {

    /** How calls are treated. */
    public enum Fault {
        NONE,
        /** Calls are read and never answered. */
        HANG,
        /** Connections are reset once the call is read. */
        RESET,
        /** Calls end with status 503 after {@link #ERROR_DELAY_MS}. */
        ERROR,
        /** Calls are answered after {@link #SLOW_DELAY_MS}. */
        SLOW,
        /** Half of the answer is written, and nothing after it. */
        HALF,
        /** Connections that are open when it is set are never answered again; new ones are sound. */
        SILENT_WATCHES
    }

    /** A new version of the list; {@code writtenAtS} is when an answer with it was first written, or NaN. */
    public record Change(long version, String worker, String health, double madeAtS, double writtenAtS) {}

    private static final int ERROR_DELAY_MS = 1100;
    private static final int SLOW_DELAY_MS = 1600;

    private static final class Entry {
        private String address;
        private int block;
        private String health;
        private long bornMs;
        private long changedInVersion;
    }

    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final List<Change> changes = new ArrayList<>();
    private final Set<Socket> silentConnections = new HashSet<>();
    private Fault fault = Fault.NONE;
    private long version = 1;

    /** Opens a discovery with an empty list of version 1. */
    public DiscoveryStub() throws IOException {
        super("discovery");
        start();
    }

    /** Adds a healthy worker without a new version; used before the first call. */
    public synchronized void add(String worker, String address, int block) {
        Entry entry = new Entry();
        entry.address = address;
        entry.block = block;
        entry.health = "in_service";
        entry.changedInVersion = version;
        entries.put(worker, entry);
    }

    /** Changes the state of a worker, {@code in_service} or {@code terminating}, in a new version. */
    public synchronized void change(String worker, String health) {
        Entry entry = entries.get(worker);
        entry.health = health;
        entry.changedInVersion = ++version;
        changes.add(new Change(version, worker, health, MonotonicClock.now(), Double.NaN));
        notifyAll();
    }

    /** Sets how calls are treated that begin from now on. */
    public synchronized void setFault(Fault fault) {
        this.fault = fault;
        if (fault == Fault.SILENT_WATCHES) {
            silentConnections.addAll(connections());
        }
    }

    /** Returns all changes so far. */
    public synchronized List<Change> changes() {
        return List.copyOf(changes);
    }

    /** Returns the complete list, as in the configuration file of a gatherer. */
    public synchronized String completeList() {
        return list(0).toString();
    }

    @Override
    void serve(Socket connection) throws IOException, InterruptedException {
        BufferedReader in =
                new BufferedReader(new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
        String requestLine = in.readLine();
        while (requestLine != null) {
            while (!in.readLine().isEmpty()) {
                // Headers are not needed.
            }
            if (!answer(connection, requestLine)) {
                return;
            }
            requestLine = in.readLine();
        }
    }

    /** Answers one call; returns whether the connection stays open. */
    private boolean answer(Socket connection, String requestLine) throws IOException, InterruptedException {
        switch (currentFault()) {
            case HANG -> {
                return connection.getInputStream().read() >= 0;
            }
            case RESET -> {
                connection.setSoLinger(true, 0);
                return false;
            }
            case ERROR -> {
                Thread.sleep(ERROR_DELAY_MS);
                write(connection, "503 Unavailable", "");
                return true;
            }
            case SLOW -> Thread.sleep(SLOW_DELAY_MS);
            case NONE, HALF, SILENT_WATCHES -> {}
        }
        long since = parameter(requestLine, "since");
        long waitMs = parameter(requestLine, "timeout_ms");
        if (since > 0) {
            awaitNewerThan(since, waitMs);
        }
        long[] answered = new long[1];
        String body = listSince(since, answered);
        if (currentFault() == Fault.HALF) {
            writeHalf(connection, body);
            return connection.getInputStream().read() >= 0;
        }
        if (isSilent(connection)) {
            return connection.getInputStream().read() >= 0;
        }
        if (!isOpen(connection)) {
            return false;
        }
        write(connection, "200 OK", body);
        recordWritten(answered[0]);
        return true;
    }

    private synchronized Fault currentFault() {
        return fault;
    }

    private synchronized boolean isSilent(Socket connection) {
        return silentConnections.contains(connection);
    }

    /** Returns whether the gatherer's side is open: what is written to a process that has died tells it nothing. */
    private static boolean isOpen(Socket connection) throws IOException {
        connection.setSoTimeout(1);
        try {
            return connection.getInputStream().read() >= 0;
        } catch (SocketTimeoutException e) {
            return true;
        } finally {
            connection.setSoTimeout(0);
        }
    }

    private static long parameter(String requestLine, String name) {
        String[] parts = requestLine.split("[?&= ]");
        for (int i = 0; i + 1 < parts.length; i++) {
            if (parts[i].equals(name)) {
                return Long.parseLong(parts[i + 1]);
            }
        }
        return 0;
    }

    private synchronized void awaitNewerThan(long since, long waitMs) throws InterruptedException {
        long endNanos = System.nanoTime() + waitMs * 1_000_000;
        while (version <= since) {
            long leftMs = (endNanos - System.nanoTime()) / 1_000_000;
            if (leftMs <= 0) {
                return;
            }
            wait(leftMs);
        }
    }

    private synchronized String listSince(long since, long[] answeredVersion) {
        answeredVersion[0] = version;
        return list(since).toString();
    }

    private JsonObject list(long since) {
        JsonArray hosts = new JsonArray();
        entries.forEach((worker, entry) -> {
            if (entry.changedInVersion > since) {
                JsonObject host = new JsonObject();
                host.addProperty("host", worker);
                host.addProperty("dial", entry.address);
                host.addProperty("block", entry.block);
                host.addProperty("health", entry.health);
                host.addProperty("born_ms", entry.bornMs);
                hosts.add(host);
            }
        });
        JsonObject list = new JsonObject();
        list.addProperty("seq", version);
        list.addProperty("whole", since == 0);
        list.add("hosts", hosts);
        return list;
    }

    private static void write(Socket connection, String status, String body) throws IOException {
        connection.getOutputStream().write(response(status, body));
    }

    private static void writeHalf(Socket connection, String body) throws IOException {
        byte[] response = response("200 OK", body);
        connection.getOutputStream().write(response, 0, response.length / 2);
    }

    private static byte[] response(String status, String body) {
        String response = "HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
        return response.getBytes(StandardCharsets.US_ASCII);
    }

    private synchronized void recordWritten(long answeredVersion) {
        double now = MonotonicClock.now();
        changes.replaceAll(change -> change.version() <= answeredVersion && Double.isNaN(change.writtenAtS())
                ? new Change(change.version(), change.worker(), change.health(), change.madeAtS(), now)
                : change);
    }
}
