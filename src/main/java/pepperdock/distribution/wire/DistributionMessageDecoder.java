package pepperdock.distribution.wire;

import java.nio.ByteBuffer;
import java.util.function.Predicate;
import pepperdock.distribution.DistributionMessage;
import pepperdock.transport.Connection;

/** Decodes the complete frames that a connection has received. Stateless; called on the event loop's thread. */
final class DistributionMessageDecoder {

    private DistributionMessageDecoder() {}

    /**
     * Decodes each complete message and passes it to the handler, until the handler returns false.
     *
     * @throws MalformedMessageException if the bytes are not a valid frame
     */
    static void decodeAvailable(Connection connection, Predicate<DistributionMessage> handler) {
        while (!connection.isClosed()
                && connection.readEnd() - connection.readStart() >= DistributionMessageCodec.LENGTH_BYTES) {
            int from = connection.readStart();
            int length = ByteBuffer.wrap(connection.bytes()).getInt(from);
            if (length <= 0 || length > DistributionMessageCodec.MAX_FRAME_BYTES) {
                throw new MalformedMessageException(
                        "frame length " + length + " is not between 1 and " + DistributionMessageCodec.MAX_FRAME_BYTES);
            }
            if (connection.readEnd() - from - DistributionMessageCodec.LENGTH_BYTES < length) {
                return;
            }
            DistributionMessage message = DistributionMessageCodec.read(
                    connection.bytes(), from + DistributionMessageCodec.LENGTH_BYTES, length);
            connection.consume(DistributionMessageCodec.LENGTH_BYTES + length);
            if (!handler.test(message)) {
                return;
            }
        }
    }
}
