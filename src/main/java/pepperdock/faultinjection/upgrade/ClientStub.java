package pepperdock.faultinjection.upgrade;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * A client that sends one request after the other and uses its connection for as long as that stays open, also after
 * SIGTERM. Runs on a thread of its own.
 */
public final class ClientStub implements Runnable {

    /** How a request ended. */
    public enum Outcome {
        ANSWERED,
        /** The client closed its connection before the answer. */
        LEFT,
        /** The connection was closed before the request can have been read; the client asks again. */
        UNREAD,
        /** No answer came in time, or the connection was closed after the request had been read. */
        LOST
    }

    /**
     * One request.
     *
     * @param sentAtS when its last byte was written
     * @param endedAtS when its answer was complete, its connection was closed, or its client gave up
     */
    public record Request(
            String id, double sentAtS, double timeoutS, double endedAtS, Outcome outcome, String detail) {}

    /**
     * How a client behaves.
     *
     * @param leaves whether it sometimes closes its connection before the answer
     * @param minTimeoutMs the shortest time that it waits for an answer
     * @param maxTimeoutMs the longest time that it waits for an answer
     * @param maxPauseMs the longest pause between two requests
     */
    public record Behaviour(boolean leaves, int minTimeoutMs, int maxTimeoutMs, int maxPauseMs) {}

    /** A request that has waited for this long on an open connection of an idle process has been read. */
    private static final double READ_WITHIN_S = 0.02;
    /** How much later than its time an answer may come. */
    private static final double LATE_ANSWER_S = 0.5;

    private static final int RECONNECT_MS = 20;
    private static final int MAX_STAY_MS = 12;
    private static final double LEAVE_PROBABILITY = 0.15;
    private static final String CLASS = "payout-report";
    private static final String BODY = "{\"ranges\":[{\"range\":0,\"portion\":0.5},{\"range\":1,\"portion\":0.25},"
            + "{\"range\":2,\"portion\":0.25}],\"predicate\":\"p\"}";
    private static final String HEAD_END = "\r\n\r\n";

    private final int port;
    private final SplittableRandom random;
    private final Behaviour behaviour;
    private final Consumer<Request> listener;
    private Socket socket;
    private volatile boolean stopped;

    /** Creates a client; {@code listener} is called on its thread. */
    public ClientStub(int port, SplittableRandom random, Behaviour behaviour, Consumer<Request> listener) {
        this.port = port;
        this.random = random;
        this.behaviour = behaviour;
        this.listener = listener;
    }

    /** Makes the client end after its present request. */
    public void stop() {
        stopped = true;
    }

    @Override
    public void run() {
        try {
            while (!stopped) {
                if (socket == null && !connect()) {
                    Thread.sleep(RECONNECT_MS);
                } else {
                    request();
                    Thread.sleep(random.nextInt(behaviour.maxPauseMs()));
                }
            }
            disconnect();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean connect() {
        try {
            socket = new Socket(InetAddress.getLoopbackAddress(), port);
            socket.setTcpNoDelay(true);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private void disconnect() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // It is closed all the same.
        }
        socket = null;
    }

    private void request() throws InterruptedException {
        String id = String.format(Locale.ROOT, "%016x", random.nextLong());
        int timeoutMs = random.nextInt(behaviour.minTimeoutMs(), behaviour.maxTimeoutMs());
        double sentAtS = MonotonicClock.now();
        try {
            socket.setSoTimeout((int) (timeoutMs + LATE_ANSWER_S * 1e3));
            String request = "POST /api HTTP/1.1\r\nRequest-Id: " + id + "\r\nRequest-Class: " + CLASS
                    + "\r\nRequest-Timeout-Ms: " + timeoutMs + "\r\nContent-Length: " + BODY.length() + HEAD_END + BODY;
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            if (behaviour.leaves() && random.nextDouble() < LEAVE_PROBABILITY) {
                Thread.sleep(random.nextInt(MAX_STAY_MS));
                disconnect();
                report(id, sentAtS, timeoutMs, Outcome.LEFT, "");
                return;
            }
            String head = readAnswer(socket.getInputStream());
            report(id, sentAtS, timeoutMs, Outcome.ANSWERED, head.substring(0, head.indexOf('\r')));
            if (head.contains("Connection: close")) {
                disconnect();
            }
        } catch (SocketTimeoutException e) {
            report(id, sentAtS, timeoutMs, Outcome.LOST, "no answer in time");
            disconnect();
        } catch (IOException e) {
            boolean read = e instanceof EndOfAnswerException && MonotonicClock.now() - sentAtS > READ_WITHIN_S;
            report(id, sentAtS, timeoutMs, read ? Outcome.LOST : Outcome.UNREAD, String.valueOf(e.getMessage()));
            disconnect();
        }
    }

    private void report(String id, double sentAtS, int timeoutMs, Outcome outcome, String detail) {
        listener.accept(new Request(id, sentAtS, timeoutMs / 1e3, MonotonicClock.now(), outcome, detail));
    }

    /** The gatherer ended the connection in order before the answer was complete. */
    private static final class EndOfAnswerException extends IOException {
        private static final long serialVersionUID = 1;

        private EndOfAnswerException() {
            super("connection closed with no whole answer");
        }
    }

    /** Reads a whole answer and returns its head. */
    private static String readAnswer(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.length() < HEAD_END.length() || head.indexOf(HEAD_END, head.length() - HEAD_END.length()) < 0) {
            int next = in.read();
            if (next < 0) {
                throw new EndOfAnswerException();
            }
            head.append((char) next);
        }
        int length = head.toString()
                .lines()
                .filter(line -> line.startsWith("Content-Length: "))
                .mapToInt(line -> Integer.parseInt(line.substring(line.indexOf(' ') + 1)))
                .findFirst()
                .orElse(0);
        if (in.readNBytes(length).length < length) {
            throw new EndOfAnswerException();
        }
        return head.toString();
    }
}
