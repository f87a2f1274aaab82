import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** A stand-in ledger node of the platform: takes calls in frames and serves each part after some time. */
final class FramePeer implements AutoCloseable {

    /** A part as it was read. */
    record Part(String id, String text) {}

    private static final int HEADER_BYTES = 5;
    /** By how much the length of a spoilt answer is too small. */
    private static final int MISSING_BYTES = 5;

    final String name;
    private final ServerSocket server;
    private final int workMs;
    private final Consumer<Part> onPart;
    /** Whether the next answer is spoilt. */
    volatile BooleanSupplier spoils = () -> false;

    private final ScheduledExecutorService timers = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "work");
        thread.setDaemon(true);
        return thread;
    });

    FramePeer(String name, int workMs, Consumer<Part> onPart) throws IOException {
        this.name = name;
        this.workMs = workMs;
        this.onPart = onPart;
        server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        SearchPeer.Thread.ofDaemon("accept-" + name, () -> {
            try {
                while (true) {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    SearchPeer.Thread.ofDaemon("serve-" + name, () -> serve(socket));
                }
            } catch (IOException e) {
                // Closed.
            }
        });
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    private void serve(Socket socket) {
        try (socket) {
            DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
            Answers out = new Answers(socket.getOutputStream());
            while (true) {
                byte[] frame = in.readNBytes(in.readInt());
                if (frame.length == 0) {
                    throw new EOFException();
                }
                if (frame[0] == 'm') {
                    serveCall(frame, out);
                } else if (frame[0] == 'o') {
                    out.send('o', "good", false);
                }
            }
        } catch (IOException e) {
            // The gatherer has gone.
        }
    }

    private void serveCall(byte[] frame, Answers out) {
        int position = 1;
        while (position < frame.length) {
            int end = position;
            while (frame[end] != '\n') {
                end++;
            }
            String[] fields = new String(frame, position, end - position, StandardCharsets.UTF_8).split(" ");
            int length = Integer.parseInt(fields[3]);
            Part part = new Part(fields[0], new String(frame, end + 1, length, StandardCharsets.UTF_8));
            position = end + 1 + length;
            onPart.accept(part);
            timers.schedule(
                    () -> {
                        try {
                            out.send('q', part.id() + " good 17 qps=3\n" + value(part), spoils.getAsBoolean());
                        } catch (IOException e) {
                            // The gatherer has gone.
                        }
                    },
                    workMs,
                    TimeUnit.MILLISECONDS);
        }
    }

    /** Returns the value that each node makes for a part. */
    static String value(Part part) {
        return "value of " + part.text() + " for " + part.id();
    }

    /** The outgoing side of one connection; after a spoilt answer nothing more comes on it. */
    private static final class Answers {

        private final OutputStream out;
        private boolean useless;

        Answers(OutputStream out) {
            this.out = out;
        }

        synchronized void send(char letter, String rest, boolean spoilt) throws IOException {
            byte[] bytes = rest.getBytes(StandardCharsets.UTF_8);
            byte[] frame = new byte[HEADER_BYTES + bytes.length];
            int length = 1 + bytes.length - (spoilt ? MISSING_BYTES : 0);
            frame[0] = (byte) (length >> 24);
            frame[1] = (byte) (length >> 16);
            frame[2] = (byte) (length >> 8);
            frame[3] = (byte) length;
            frame[4] = (byte) letter;
            System.arraycopy(bytes, 0, frame, HEADER_BYTES, bytes.length);
            if (!useless) {
                useless = spoilt;
                out.write(frame);
                out.flush();
            }
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        timers.shutdownNow();
    }
}
