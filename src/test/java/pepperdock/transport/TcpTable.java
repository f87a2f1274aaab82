package pepperdock.transport;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.stream.Stream;

/**
 * Reads the kernel's table of loopback connections (Linux, /proc), so that tests can wait until their actions show
 * there.
 */
public final class TcpTable {

    private static final String ESTABLISHED = "01";
    private static final String CLOSE_WAIT = "08";

    private TcpTable() {}

    /** Returns once the socket of {@code port} has received the end of the connection from {@code peerPort}. */
    public static void awaitEnd(int port, int peerPort) {
        String[] columns = row(port, peerPort);
        while (columns != null && !columns[3].equals(CLOSE_WAIT)) {
            Thread.onSpinWait();
            columns = row(port, peerPort);
        }
    }

    /** Returns once the socket of {@code port} has unread bytes of the connection from {@code peerPort}. */
    public static void awaitUnread(int port, int peerPort) {
        String[] columns = row(port, peerPort);
        while (columns == null || columns[4].endsWith(":00000000")) {
            Thread.onSpinWait();
            columns = row(port, peerPort);
        }
    }

    /** Returns how many connections to {@code port} a program has accepted from the kernel's queue. */
    public static long accepted(int port) {
        String local = String.format(Locale.ROOT, ":%04X", port);
        return rows().filter(columns ->
                        columns[1].endsWith(local) && columns[3].equals(ESTABLISHED) && !columns[9].equals("0"))
                .count();
    }

    /** Returns the columns of one connection's row, or null if there is none, as after a reset. */
    private static String[] row(int port, int peerPort) {
        String local = String.format(Locale.ROOT, ":%04X", port);
        String peer = String.format(Locale.ROOT, ":%04X", peerPort);
        return rows().filter(columns -> columns[1].endsWith(local) && columns[2].endsWith(peer))
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
