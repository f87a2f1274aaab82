package pepperdock.platform;

import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import pepperdock.codec.frame.Frames;

/** A worker of the platform's frames, written from the protocol's page with blocking sockets of its own. */
public final class StandInWorker implements java.io.Closeable {

    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final StandIn does;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();

    public StandInWorker(StandIn does) throws IOException {
        this.does = does;
        start(() -> {
            while (true) {
                Socket s = server.accept();
                sockets.add(s);
                start(() -> serve(s));
            }
        });
    }

    public String dial() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    private void serve(Socket s) throws IOException {
        DataInputStream in = new DataInputStream(s.getInputStream());
        while (true) {
            byte[] frame = new byte[in.readInt()];
            in.readFully(frame);
            int at = 1;
            work();
            while (frame[0] == 'm' && at < frame.length) {
                int end = at;
                while (frame[end] != '\n') {
                    end++;
                }
                String[] words = new String(frame, at, end - at, StandardCharsets.UTF_8).split(" ");
                int length = Integer.parseInt(words[3]);
                String text = new String(frame, end + 1, length, StandardCharsets.UTF_8);
                at = end + 1 + length;
                int shard = Integer.parseInt(words[1]);
                StandIn.Does what = does.part(text, shard);
                if (what != StandIn.Does.SILENT) {
                    String word = what == StandIn.Does.GOOD ? "good" : what == StandIn.Does.BAD ? "bad" : "later";
                    String value = what == StandIn.Does.GOOD ? StandIn.value(text, shard) : "";
                    s.getOutputStream()
                            .write(Frames.frame(
                                    'q',
                                    (words[0] + ' ' + word + " 1 qps=3.5\n" + value).getBytes(StandardCharsets.UTF_8)));
                }
            }
        }
    }

    private static void work() throws IOException {
        try {
            Thread.sleep(StandIn.WORK_MS);
        } catch (InterruptedException e) {
            throw new EOFException("interrupted");
        }
    }

    private interface Step {
        void run() throws IOException;
    }

    private static void start(Step step) {
        Thread t = new Thread(() -> {
            try {
                step.run();
            } catch (EOFException | java.net.SocketException e) {
                // The other side, or the test, has closed.
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        });
        t.setDaemon(true);
        t.start();
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket s : sockets) {
            s.close();
        }
    }
}
