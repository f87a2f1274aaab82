package pepperdock.faultinjection.overload;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Many clients on one thread that write slowly, or stop half way; one whose connection ends connects again. */
public final class SlowClients implements AutoCloseable {

    /** What the clients write. */
    public enum Kind {
        /** Most of a body of the greatest size, and nothing more. */
        HALF_BODY,
        /** Very many short fields, and no end of the head. */
        SHORT_FIELDS,
        /** A body of the greatest size in small pieces. */
        SLOW_BODY,
        /** Nothing. */
        SILENT
    }

    private static final int BODY_BYTES = 64 << 10;
    private static final int HELD_BACK_BYTES = 1000;
    private static final int PIECE_BYTES = 2000;
    private static final int PIECE_INTERVAL_MS = 50;
    private static final int HEAD_BYTES = 16_000;
    private static final String BODY_HEAD = "POST /api HTTP/1.1\r\nRequest-Id: slow\r\nRequest-Class: payout-report\r\n"
            + "Request-Timeout-Ms: 3000\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n";

    private final int port;
    private final byte[] message;
    private final int pieceBytes;
    private final Socket[] sockets;
    private final int[] written;
    private final Thread thread;
    private volatile boolean closed;

    SlowClients(int port, Kind kind, int count) {
        this.port = port;
        message = message(kind);
        pieceBytes = kind == Kind.SLOW_BODY ? PIECE_BYTES : message.length;
        sockets = new Socket[count];
        written = new int[count];
        thread = RigThreads.start(this::run, "slow clients");
    }

    private static byte[] message(Kind kind) {
        StringBuilder text = new StringBuilder();
        switch (kind) {
            case HALF_BODY, SLOW_BODY -> text.append(BODY_HEAD).append(" ".repeat(BODY_BYTES - HELD_BACK_BYTES));
            case SHORT_FIELDS -> {
                text.append("POST /api HTTP/1.1\r\n");
                for (int i = 0; text.length() < HEAD_BYTES; i++) {
                    text.append(Integer.toString(i, Character.MAX_RADIX)).append(":\r\n");
                }
            }
            default -> {}
        }
        return text.toString().getBytes(StandardCharsets.US_ASCII);
    }

    private void run() {
        try {
            while (!closed) {
                for (int i = 0; i < sockets.length && !closed; i++) {
                    step(i);
                }
                Thread.sleep(PIECE_INTERVAL_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void step(int index) {
        try {
            if (sockets[index] == null || sockets[index].getInputStream().available() > 0) {
                reconnect(index);
            }
            int until = Math.min(message.length, written[index] + pieceBytes);
            sockets[index].getOutputStream().write(message, written[index], until - written[index]);
            written[index] = until;
        } catch (IOException e) {
            close(index);
        }
    }

    private void reconnect(int index) throws IOException {
        close(index);
        sockets[index] = new Socket(InetAddress.getLoopbackAddress(), port);
        written[index] = 0;
    }

    private void close(int index) {
        try {
            if (sockets[index] != null) {
                sockets[index].close();
            }
        } catch (IOException e) {
            // It is closed all the same.
        }
        sockets[index] = null;
    }

    @Override
    public void close() {
        closed = true;
        RigThreads.join(thread);
        for (int i = 0; i < sockets.length; i++) {
            close(i);
        }
    }
}
