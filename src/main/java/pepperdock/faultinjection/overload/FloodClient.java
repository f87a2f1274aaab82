package pepperdock.faultinjection.overload;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.util.SplittableRandom;

/** A client that sends one kind of message at full speed until it is stopped. Uses two threads of its own. */
public final class FloodClient implements AutoCloseable {

    /** How the messages are written. */
    public enum Pace {
        /** Many messages in each write, without waiting for answers, which are read and dropped. */
        PIPELINED,
        /** As {@link #PIPELINED}, but in pieces of a few bytes. */
        PIECES,
        /** A new connection for each message, closed after the first bytes of the answer. */
        CONNECTION_EACH,
        /** As {@link #PIPELINED}, but the answers are never read. */
        UNREAD
    }

    private static final int MESSAGES_PER_WRITE = 8;
    private static final int PIECE_BYTES = 40;
    private static final int ANSWER_TIMEOUT_MS = 1000;

    private final int port;
    private final Pace pace;
    private final FloodMessage message;
    private final SplittableRandom random;
    private final Thread writer;
    private volatile boolean closed;
    private volatile Socket socket;

    FloodClient(int port, FloodMessage message, Pace pace, SplittableRandom random) {
        this.port = port;
        this.message = message;
        this.pace = pace;
        this.random = random;
        writer = RigThreads.start(this::run, "flood");
    }

    private void run() {
        while (!closed) {
            try (Socket opened = new Socket(InetAddress.getLoopbackAddress(), port)) {
                socket = opened;
                opened.setTcpNoDelay(true);
                opened.setSoTimeout(ANSWER_TIMEOUT_MS);
                write(opened);
            } catch (IOException e) {
                // The gatherer has closed the connection; the next one follows at once.
            }
        }
    }

    private byte[] nextWrite() {
        ByteArrayOutputStream messages = new ByteArrayOutputStream();
        for (int i = 0; i < MESSAGES_PER_WRITE; i++) {
            messages.writeBytes(message.bytes(random));
        }
        return messages.toByteArray();
    }

    private void write(Socket opened) throws IOException {
        if (pace == Pace.CONNECTION_EACH) {
            opened.getOutputStream().write(message.bytes(random));
            int unused = opened.getInputStream().read();
            return;
        }
        if (pace != Pace.UNREAD) {
            startReader(opened);
        }
        while (!closed) {
            byte[] bytes = nextWrite();
            int step = pace == Pace.PIECES ? PIECE_BYTES : bytes.length;
            for (int from = 0; from < bytes.length; from += step) {
                opened.getOutputStream().write(bytes, from, Math.min(step, bytes.length - from));
            }
        }
    }

    private static void startReader(Socket opened) {
        var unused = RigThreads.start(
                () -> {
                    try {
                        InputStream in = opened.getInputStream();
                        in.transferTo(OutputStream.nullOutputStream());
                    } catch (IOException e) {
                        // The connection has ended; the writer notices it too.
                    }
                },
                "flood reader");
    }

    @Override
    public void close() throws IOException {
        closed = true;
        Socket last = socket;
        if (last != null) {
            last.close();
        }
        RigThreads.join(writer);
    }
}
