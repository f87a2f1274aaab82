import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** A ledger node that speaks the platform's frames: it answers each part with a value made for it, after some work. */
final class FramePeer implements Closeable {

    /** One part that came in a call. */
    record Part(String id, int shard, String options, String text) {}

    /** Says how a part is answered. */
    interface Handler {
        /** Returns the end of the part, such as {@code good}, or null for silence; called when its frame has come. */
        String onPart(Part part);
    }

    private final String name;
    private final Handler handler;
    private final int workMs;
    private Consumer<String> answeredListener = id -> {};
    private final ServerSocket listening = new ServerSocket();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2, task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });

    FramePeer(String name, int workMs, Handler handler) throws IOException {
        this.name = name;
        this.workMs = workMs;
        this.handler = handler;
        listening.bind(new InetSocketAddress(InetAddress.getByName(Bench.HOST), 0));
        daemon(() -> {
            while (!listening.isClosed()) {
                Socket accepted = listening.accept();
                accepted.setTcpNoDelay(true);
                open.add(accepted);
                daemon(() -> serve(accepted));
            }
        });
    }

    /** Sets what is told the id of each part right after its answer was written. */
    void onAnswered(Consumer<String> listener) {
        answeredListener = listener;
    }

    int port() {
        return listening.getLocalPort();
    }

    String address() {
        return Bench.HOST + ":" + port();
    }

    /** Returns the value that a sound node makes for a part. */
    static String valueOf(String id, String text) {
        return "v-" + id + "-" + text;
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                int length = in.readInt();
                char type = (char) in.readByte();
                byte[] rest = in.readNBytes(length - 1);
                if (type == 'm') {
                    for (Part part : parts(rest)) {
                        String end = handler.onPart(part);
                        if (end != null) {
                            timer.schedule(() -> answer(out, part, end), workMs, TimeUnit.MILLISECONDS);
                        }
                    }
                } else if (type == 'o') {
                    write(out, 'o', "good".getBytes(StandardCharsets.UTF_8));
                }
            }
        } finally {
            open.remove(socket);
        }
    }

    private void answer(OutputStream out, Part part, String end) {
        String value = end.equals("good") ? valueOf(part.id(), part.text()) : "";
        try {
            write(out, 'q', (part.id() + ' ' + end + " 1 -\n" + value).getBytes(StandardCharsets.UTF_8));
            answeredListener.accept(part.id());
        } catch (IOException e) {
            // The gatherer has closed the connection.
        }
    }

    private static void write(OutputStream out, char type, byte[] rest) throws IOException {
        ByteBuffer frame = ByteBuffer.allocate(5 + rest.length).putInt(1 + rest.length).put((byte) type).put(rest);
        synchronized (out) {
            out.write(frame.array());
        }
    }

    private static List<Part> parts(byte[] rest) {
        List<Part> parts = new ArrayList<>();
        int at = 0;
        while (at < rest.length) {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            while (rest[at] != '\n') {
                line.write(rest[at++]);
            }
            at++;
            String[] fields = line.toString(StandardCharsets.UTF_8).split(" ");
            int length = Integer.parseInt(fields[3]);
            parts.add(new Part(
                    fields[0],
                    Integer.parseInt(fields[1]),
                    fields[2],
                    new String(rest, at, length, StandardCharsets.UTF_8)));
            at += length;
        }
        return parts;
    }

    /** A task that may fail when its socket is closed. */
    private interface Task {
        void run() throws IOException;
    }

    private static void daemon(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // Closed.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public String toString() {
        return name;
    }

    @Override
    public void close() throws IOException {
        listening.close();
        for (Socket socket : open) {
            socket.close();
        }
        timer.shutdownNow();
    }
}
