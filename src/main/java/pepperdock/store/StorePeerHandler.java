package pepperdock.store;

import java.io.IOException;
import pepperdock.codec.frame.Frame;
import pepperdock.codec.frame.FrameException;
import pepperdock.codec.frame.FrameParser;
import pepperdock.transport.Connection;
import pepperdock.transport.ConnectionHandler;

/**
 * Parses the frames of a connection between two members. A malformed or unexpected frame closes that connection only.
 * Used on the event loop's thread only.
 *
 * <p>A follower first sends {@link #HELLO}. The leader sends it a {@link #SNAPSHOT} or the missing {@link #ENTRIES},
 * then each new entry, and the follower answers each of these frames with {@link #HELD}.
 */
abstract class StorePeerHandler implements ConnectionHandler {

    /** A follower's first frame: its name, its log's id and its last sequence number, as text separated by spaces. */
    static final char HELLO = 'h';
    /** All values as of one sequence number. */
    static final char SNAPSHOT = 's';
    /** Entries that follow the last one that was sent. */
    static final char ENTRIES = 'e';
    /** The sequence number up to which a follower holds the log on disk, in eight bytes. */
    static final char HELD = 'a';

    private static final System.Logger LOG = System.getLogger("pepperdock.store");
    private static final int MAX_FRAME_BYTES = 16 << 20;
    private static final String FRAME_TYPES = "" + HELLO + SNAPSHOT + ENTRIES + HELD;

    private final FrameParser parser = new FrameParser(MAX_FRAME_BYTES, FRAME_TYPES);

    /** Handles one frame; an exception closes the connection. */
    abstract void onFrame(Connection connection, Frame frame) throws IOException;

    @Override
    public void onBytes(Connection connection) {
        try {
            while (!connection.isClosed()) {
                int used = parser.feed(connection.bytes(), connection.readStart(), connection.readEnd());
                if (used == 0) {
                    return;
                }
                connection.consume(used);
                onFrame(connection, parser.take());
            }
        } catch (FrameException | IOException | IllegalArgumentException e) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "store: closed the connection to a peer after an error: {0}",
                    e.getMessage());
            connection.close();
            onClosed(connection);
        }
    }
}
