package pepperdock.platform;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Discovery's side of one connection, for tests that act as discovery on plain sockets. */
final class DiscoveryConnection implements AutoCloseable {

    private static final String ENTRY =
            "{\"host\":\"%s\",\"dial\":\"127.0.0.1:1\",\"block\":0,\"health\":\"in_service\",\"born_ms\":0}";

    final Socket socket;
    private final BufferedReader in;

    private DiscoveryConnection(Socket socket) throws IOException {
        this.socket = socket;
        in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
    }

    static DiscoveryConnection accept(ServerSocket server) throws IOException {
        return new DiscoveryConnection(server.accept());
    }

    /** Reads the first line of a request and nothing after it. */
    String readRequestLine() throws IOException {
        return in.readLine();
    }

    /** Reads the remaining lines of a request's head. */
    void readHeaders() throws IOException {
        String header = in.readLine();
        while (!header.isEmpty()) {
            header = in.readLine();
        }
    }

    /** Reads a request and returns its target without the time for which it may be held. */
    String readTarget() throws IOException {
        String target = readRequestLine().split(" ")[1].replaceAll("&.*", "");
        readHeaders();
        return target;
    }

    /** Waits for one character and returns it, or -1 once the other side has closed. */
    int read() throws IOException {
        return in.read();
    }

    void write(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    void answer(int status, String body) throws IOException {
        write("HTTP/1.1 " + status + " X\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }

    /** Answers with changed entries: healthy workers with these ids. */
    void answerChanges(long version, String... workers) throws IOException {
        answer(200, list(version, false, workers));
    }

    /** Answers with a complete list of healthy workers with these ids. */
    void answerComplete(long version, String... workers) throws IOException {
        answer(200, list(version, true, workers));
    }

    /** Returns a list in discovery's format of healthy workers with these ids. */
    static String list(long version, boolean complete, String... workers) {
        StringBuilder entries = new StringBuilder();
        for (String worker : workers) {
            entries.append(entries.isEmpty() ? "" : ",").append(ENTRY.formatted(worker));
        }
        return "{\"seq\":" + version + ",\"whole\":" + complete + ",\"hosts\":[" + entries + "]}";
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
