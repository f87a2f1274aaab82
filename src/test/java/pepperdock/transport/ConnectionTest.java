package pepperdock.transport;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class ConnectionTest {

    /**
     * Guards against holding input up to the maximum size of the buffer for a client that keeps sending behind one
     * request in progress.
     */
    @Test
    void unconsumedInputIsHeldOnlyUpToTheLimit() throws Exception {
        AtomicInteger maxHeld = new AtomicInteger();
        ConnectionHandler neverConsumes = new ConnectionHandler() {
            @Override
            public void onBytes(Connection connection) {
                maxHeld.accumulateAndGet(connection.readEnd() - connection.readStart(), Math::max);
            }

            @Override
            public void onClosed(Connection connection) {}
        };
        try (EventLoop loop = new EventLoop(10, 1 << 20)) {
            EventLoop.ServerSocketHandle listening =
                    loop.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), () -> true, connection -> {
                        connection.limitUnconsumedBytes(16 << 10);
                        connection.start(neverConsumes);
                    });
            try (SocketChannel client = SocketChannel.open(listening.address())) {
                client.configureBlocking(false);
                ByteBuffer bytes = ByteBuffer.allocate(1 << 16);
                int refused = 0;
                for (int sent = 0; refused < 20 && sent < 1 << 26; ) {
                    int count = client.write(bytes.clear());
                    sent += count;
                    refused = count == 0 ? refused + 1 : 0;
                    Thread.sleep(count == 0 ? 10 : 0);
                }
                assertTrue(maxHeld.get() > 0 && maxHeld.get() < 64 << 10, "bytes held: " + maxHeld.get());
            }
            listening.close();
        }
    }
}
