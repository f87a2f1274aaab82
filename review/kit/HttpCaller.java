import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** A client's connection: one request at a time, each with its answer or none. */
final class HttpCaller implements Closeable {

    /** An answer. */
    record Answer(int status, String body) {}

    private final Socket socket;

    HttpCaller(int port) throws IOException {
        socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(InetAddress.getByName(Bench.HOST), port), 1000);
    }

    /**
     * Sends a request and waits for its answer; returns null if there is none within the time. Throws if the connection
     * ends before the whole answer.
     */
    Answer call(String method, String target, String headers, String body, double waitS) throws IOException {
        byte[] text = body.getBytes(StandardCharsets.UTF_8);
        ByteArrayOutputStream request = new ByteArrayOutputStream();
        request.writeBytes((method + ' ' + target + " HTTP/1.1\r\nHost: test\r\n" + headers + "Content-Length: "
                        + text.length + "\r\n\r\n")
                .getBytes(StandardCharsets.UTF_8));
        request.writeBytes(text);
        socket.getOutputStream().write(request.toByteArray());
        long until = System.nanoTime() + (long) (waitS * 1e9);
        try {
            String head = "";
            while (!head.endsWith("\r\n\r\n")) {
                head += (char) next(until);
            }
            int length = 0;
            for (String line : head.split("\r\n")) {
                if (line.toLowerCase(java.util.Locale.ROOT).startsWith("content-length:")) {
                    length = Integer.parseInt(line.substring("content-length:".length()).strip());
                }
            }
            byte[] answer = new byte[length];
            for (int i = 0; i < length; i++) {
                answer[i] = (byte) next(until);
            }
            return new Answer(Integer.parseInt(head.split(" ")[1]), new String(answer, StandardCharsets.UTF_8));
        } catch (SocketTimeoutException e) {
            return null;
        }
    }

    private int next(long until) throws IOException {
        long leftMs = (until - System.nanoTime()) / 1_000_000;
        if (leftMs <= 0) {
            throw new SocketTimeoutException("no whole answer in time");
        }
        socket.setSoTimeout((int) leftMs);
        InputStream in = socket.getInputStream();
        int read = in.read();
        if (read < 0) {
            throw new IOException("the connection ended before the whole answer");
        }
        return read;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
