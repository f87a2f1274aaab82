package pepperdock.transport;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.stream.Stream;

/** What the kernel knows of loopback connections (Linux, /proc): tests wait here until it has what they caused. */
public final class TcpTable {

    private static final String ESTABLISHED = "01";
    private static final String CLOSE_WAIT = "08";

    private TcpTable() {}

    /** Returns once the end of the connection from {@code peerPort} stands at the socket of {@code port}. */
    public static void awaitEnd(int port, int peerPort) {
        String[] words = row(port, peerPort);
        while (words != null && !words[3].equals(CLOSE_WAIT)) {
            Thread.onSpinWait();
            words = row(port, peerPort);
        }
    }

    /** Returns once bytes of the connection from {@code peerPort} stand unread at the socket of {@code port}. */
    public static void awaitUnread(int port, int peerPort) {
        String[] words = row(port, peerPort);
        while (words == null || words[4].endsWith(":00000000")) {
            Thread.onSpinWait();
            words = row(port, peerPort);
        }
    }

    /** How many connections to {@code port} a program has taken out of the kernel's queue. */
    public static long accepted(int port) {
        String local = String.format(Locale.ROOT, ":%04X", port);
        return rows().filter(words -> words[1].endsWith(local) && words[3].equals(ESTABLISHED) && !words[9].equals("0"))
                .count();
    }

    /** The columns of one connection's row; null where there is none, as after a reset. */
    private static String[] row(int port, int peerPort) {
        String local = String.format(Locale.ROOT, ":%04X", port);
        String peer = String.format(Locale.ROOT, ":%04X", peerPort);
        return rows().filter(words -> words[1].endsWith(local) && words[2].endsWith(peer))
                .findFirst()
                .orElse(null);
    }

    private static Stream<String[]> rows() {
        return Stream.of("/proc/net/tcp", "/proc/net/tcp6").flatMap(file -> {
            try {
                return Files.readAllLines(Path.of(file)).stream()
                        .map(line -> line.strip().split(" +"));
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        });
    }
}
