import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A server stand-in of HTTP/1.1: a thread for each connection, one request after the other. */
final class HttpPeer implements Closeable {

    /** A request with its whole body. */
    record Request(String method, String target, String head, String body) {}

    /** Answers requests, on the thread of the connection. */
    interface Handler {
        /** Returns the bytes to send, the head included; null for silence, after which the connection stays open. */
        byte[] answer(Request request) throws Exception;
    }

    private final ServerSocket listening = new ServerSocket();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final Handler handler;

    HttpPeer(Handler handler) throws IOException {
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

    String address() {
        return Bench.HOST + ":" + listening.getLocalPort();
    }

    /** Encodes a whole answer of JSON. */
    static byte[] json(int status, String body) {
        byte[] text = body.getBytes(StandardCharsets.UTF_8);
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(("HTTP/1.1 " + status + " Status\r\nContent-Type: application/json\r\nContent-Length: "
                        + text.length + "\r\n\r\n")
                .getBytes(StandardCharsets.UTF_8));
        bytes.writeBytes(text);
        return bytes.toByteArray();
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            InputStream in = socket.getInputStream();
            while (true) {
                StringBuilder head = new StringBuilder();
                while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
                    int read = in.read();
                    if (read < 0) {
                        return;
                    }
                    head.append((char) read);
                }
                int length = 0;
                for (String line : head.toString().split("\r\n")) {
                    if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                        length = Integer.parseInt(line.substring("content-length:".length()).strip());
                    }
                }
                String body = new String(in.readNBytes(length), StandardCharsets.UTF_8);
                String[] first = head.substring(0, head.indexOf("\r\n")).split(" ");
                byte[] answer = handler.answer(new Request(first[0], first[1], head.toString(), body));
                if (answer != null) {
                    socket.getOutputStream().write(answer);
                }
            }
        } catch (Exception e) {
            // The gatherer has closed the connection, or the stand-in ends.
        } finally {
            open.remove(socket);
        }
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
    public void close() throws IOException {
        listening.close();
        for (Socket socket : open) {
            socket.close();
        }
    }
}
