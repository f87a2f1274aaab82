import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A client over HTTP/1.1: one request at a time on a connection that is kept while the server allows it. */
final class HttpCaller implements AutoCloseable {

    record Answer(int status, String body) {}

    private final InetSocketAddress server;
    private Socket socket;
    private InputStream in;

    HttpCaller(String address) {
        int colon = address.lastIndexOf(':');
        server = new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    /** Sends a request and waits for the answer; throws SocketTimeoutException if none comes in that time. */
    Answer call(String method, String target, String headers, String body, double timeoutS) throws IOException {
        if (socket == null) {
            socket = new Socket();
            socket.connect(server, 2000);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
        }
        socket.setSoTimeout((int) Math.max(1, timeoutS * 1e3));
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String head = method + ' ' + target + " HTTP/1.1\r\nHost: gatherer\r\n" + headers + "Content-Length: " + bytes.length
                + "\r\n\r\n";
        byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[headBytes.length + bytes.length];
        System.arraycopy(headBytes, 0, all, 0, headBytes.length);
        System.arraycopy(bytes, 0, all, headBytes.length, bytes.length);
        try {
            socket.getOutputStream().write(all);
            int status = Integer.parseInt(line().split(" ")[1]);
            int length = 0;
            boolean close = false;
            String text;
            while (!(text = line().toLowerCase(Locale.ROOT)).isEmpty()) {
                if (text.startsWith("content-length:")) {
                    length = Integer.parseInt(text.substring(15).strip());
                }
                close |= text.startsWith("connection:") && text.contains("close");
            }
            byte[] answer = in.readNBytes(length);
            if (answer.length < length) {
                throw new EOFException("the answer ends before its end");
            }
            if (close) {
                close();
            }
            return new Answer(status, new String(answer, StandardCharsets.UTF_8));
        } catch (IOException e) {
            close();
            throw e;
        }
    }

    private String line() throws IOException {
        StringBuilder text = new StringBuilder();
        int read;
        while ((read = in.read()) != '\n') {
            if (read < 0) {
                throw new EOFException("the connection was closed");
            }
            if (read != '\r') {
                text.append((char) read);
            }
        }
        return text.toString();
    }

    @Override
    public void close() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // Closed already.
        }
        socket = null;
    }
}
