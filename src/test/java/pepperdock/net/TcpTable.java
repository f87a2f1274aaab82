package pepperdock.net;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** What the kernel knows of loopback connections (Linux, /proc): tests wait here until it has what they caused. */
public final class TcpTable {

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

    /** The columns of one connection's row; null where there is none, as after a reset. */
    private static String[] row(int port, int peerPort) {
        String local = String.format(Locale.ROOT, ":%04X", port);
        String peer = String.format(Locale.ROOT, ":%04X", peerPort);
        try {
            for (String file : new String[] {"/proc/net/tcp", "/proc/net/tcp6"}) {
                for (String line : Files.readAllLines(Path.of(file))) {
                    String[] words = line.strip().split(" +");
                    if (words[1].endsWith(local) && words[2].endsWith(peer)) {
                        return words;
                    }
                }
            }
            return null;
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }
}
