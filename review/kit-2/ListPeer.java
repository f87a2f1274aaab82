import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A stand-in of the platform's discovery with a list that does not change. */
final class ListPeer implements AutoCloseable {

    private final ServerSocket server;
    private final long seq;
    private final String list;

    ListPeer(long seq, String... hosts) throws IOException {
        this.seq = seq;
        list = SmallDeployment.list(seq, hosts);
        server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        SearchPeer.Thread.ofDaemon("discovery", () -> {
            try {
                while (true) {
                    Socket socket = server.accept();
                    SearchPeer.Thread.ofDaemon("discovery", () -> serve(socket));
                }
            } catch (IOException e) {
                // Closed.
            }
        });
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    String list() {
        return list;
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            String start;
            while ((start = in.readLine()) != null) {
                String line;
                while ((line = in.readLine()) != null && !line.isEmpty()) {
                    // A call has headers only.
                }
                String target = start.split(" ")[1];
                String body = list;
                if (target.contains("since=" + seq + "&")) {
                    Thread.sleep(Long.parseLong(target.replaceAll(".*timeout_ms=", "")));
                    body = "{\"seq\":" + seq + ",\"whole\":false,\"hosts\":[]}";
                }
                socket.getOutputStream()
                        .write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length()
                                        + "\r\n\r\n" + body)
                                .getBytes(StandardCharsets.ISO_8859_1));
                socket.getOutputStream().flush();
            }
        } catch (IOException e) {
            // The gatherer has gone.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
