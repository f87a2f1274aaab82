package pepperdock.distribution.wire;

import java.nio.ByteBuffer;
import java.util.function.Predicate;
import pepperdock.distribution.Message;
import pepperdock.transport.Connection;

/** Takes whole frames out of what a connection has received. */
final class MessageReader {

    private MessageReader() {}

    /**
     * Hands over each whole message; false is to be answered where no more is wanted.
     *
     * @throws IllegalArgumentException where what came is no frame
     */
    static void take(Connection connection, Predicate<Message> to) {
        while (!connection.closed() && connection.to() - connection.from() >= MessageCodec.LENGTH_BYTES) {
            int from = connection.from();
            int length = ByteBuffer.wrap(connection.bytes()).getInt(from);
            if (length <= 0 || length > MessageCodec.FRAME_MOST) {
                throw new IllegalArgumentException("a frame of " + length + " bytes");
            }
            if (connection.to() - from - MessageCodec.LENGTH_BYTES < length) {
                return;
            }
            Message message = MessageCodec.read(connection.bytes(), from + MessageCodec.LENGTH_BYTES, length);
            connection.consume(MessageCodec.LENGTH_BYTES + length);
            if (!to.test(message)) {
                return;
            }
        }
    }
}
