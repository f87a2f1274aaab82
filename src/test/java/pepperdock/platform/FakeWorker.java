package pepperdock.platform;

import java.io.Closeable;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import pepperdock.codec.frame.FrameEncoder;

/**
 * A worker that speaks the platform's frame protocol on a loopback port. It is written from the protocol's
 * specification with its own blocking sockets, and shares only the encoding of a frame's length and type with the
 * program. Uses one thread for each connection.
 */
public final class FakeWorker implements Closeable {

    /** One part of a call, as received. */
    public record ReceivedPart(String id, int shard, String text) {}

    /** Handles frames, on the thread of their connection. */
    @FunctionalInterface
    public interface FrameHandler {
        /** Handles a frame; {@code parts} are the parts of a call in order, or empty for any other frame. */
        void onFrame(List<ReceivedPart> parts, Socket connection) throws IOException;
    }

    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final FrameHandler handler;
    private final List<Socket> connections = new CopyOnWriteArrayList<>();

    /** Creates a worker that passes each frame to a handler. */
    public FakeWorker(FrameHandler handler) throws IOException {
        this.handler = handler;
        startThread(() -> {
            while (true) {
                Socket connection = server.accept();
                connections.add(connection);
                startThread(() -> serve(connection));
            }
        });
    }

    /** Creates a worker that answers each call after {@link FakeWorkerBehaviour#CALL_MS}, as the behaviour says. */
    public FakeWorker(FakeWorkerBehaviour behaviour) throws IOException {
        this((parts, connection) -> {
            sleepForCallDuration();
            for (ReceivedPart part : parts) {
                FakeWorkerBehaviour.Reaction reaction = behaviour.onCall(part.text(), part.shard());
                if (reaction != FakeWorkerBehaviour.Reaction.SILENT) {
                    boolean good = reaction == FakeWorkerBehaviour.Reaction.GOOD;
                    String value = good ? FakeWorkerBehaviour.value(part.text(), part.shard()) : "";
                    String outcome = reaction.name().toLowerCase(Locale.ROOT);
                    sendResult(connection, part.id() + ' ' + outcome + " 1 qps=3.5", value);
                }
            }
        });
    }

    /** Returns the address at which the worker listens, as in an endpoint list. */
    public String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Writes a result; {@code header} has no line end. */
    public static void sendResult(Socket connection, String header, String value) throws IOException {
        byte[] payload = (header + '\n' + value).getBytes(StandardCharsets.UTF_8);
        connection.getOutputStream().write(FrameEncoder.encode('q', payload));
    }

    private void serve(Socket connection) throws IOException {
        DataInputStream in = new DataInputStream(connection.getInputStream());
        while (true) {
            byte[] frame = new byte[in.readInt()];
            in.readFully(frame);
            handler.onFrame(frame[0] == 'm' ? parseCall(frame) : List.of(), connection);
        }
    }

    private static List<ReceivedPart> parseCall(byte[] frame) {
        List<ReceivedPart> parts = new ArrayList<>();
        int from = 1;
        while (from < frame.length) {
            int end = from;
            while (frame[end] != '\n') {
                end++;
            }
            String[] fields = new String(frame, from, end - from, StandardCharsets.UTF_8).split(" ");
            int length = Integer.parseInt(fields[3]);
            String text = new String(frame, end + 1, length, StandardCharsets.UTF_8);
            parts.add(new ReceivedPart(fields[0], Integer.parseInt(fields[1]), text));
            from = end + 1 + length;
        }
        return parts;
    }

    private static void sleepForCallDuration() throws IOException {
        try {
            Thread.sleep(FakeWorkerBehaviour.CALL_MS);
        } catch (InterruptedException e) {
            throw new EOFException("interrupted");
        }
    }

    private interface IoTask {
        void run() throws IOException;
    }

    private static void startThread(IoTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (EOFException | SocketException e) {
                // The other side or the test has closed the connection.
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket connection : connections) {
            connection.close();
        }
    }
}
