package pepperdock.distribution.wire;

import java.nio.ByteBuffer;
import java.util.function.Predicate;
import pepperdock.distribution.DistributionMessage;
import pepperdock.transport.Connection;

/** Decodes the complete frames that a connection has received. Stateless; called on the loop's thread. */
final class DistributionMessageDecoder {

    private DistributionMessageDecoder() {}

    /**
     * Passes on each complete message, until the predicate returns false.
     *
     * @throws MalformedMessageException where the bytes are no frame
     */
    static void take(Connection connection, Predicate<DistributionMessage> to) {
        while (!connection.isClosed()
                && connection.readEnd() - connection.readStart() >= DistributionMessageCodec.LENGTH_BYTES) {
            int from = connection.readStart();
            int length = ByteBuffer.wrap(connection.bytes()).getInt(from);
            if (length <= 0 || length > DistributionMessageCodec.MAX_FRAME_BYTES) {
                throw new MalformedMessageException("a frame of " + length + " bytes");
            }
            if (connection.readEnd() - from - DistributionMessageCodec.LENGTH_BYTES < length) {
                return;
            }
            DistributionMessage message = DistributionMessageCodec.read(
                    connection.bytes(), from + DistributionMessageCodec.LENGTH_BYTES, length);
            connection.consume(DistributionMessageCodec.LENGTH_BYTES + length);
            if (!to.test(message)) {
                return;
            }
        }
    }
}
