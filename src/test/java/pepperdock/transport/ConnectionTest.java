package pepperdock.transport;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

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

    /**
     * Guards against input that closed connections keep in memory: many may wait for their channels to be closed. The
     * client or the server closes.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void inputIsReleasedOnceWhenTheConnectionIsClosed(boolean serverCloses) throws Exception {
        BlockingQueue<Boolean> released = new LinkedBlockingQueue<>();
        ConnectionHandler handler = new ConnectionHandler() {
            @Override
            public void onBytes(Connection connection) {
                connection.consume(connection.readEnd() - connection.readStart());
                if (serverCloses) {
                    connection.close();
                }
            }

            @Override
            public void onClosed(Connection connection) {
                connection.close();
            }

            @Override
            public void releaseInput() {
                released.add(true);
            }
        };
        try (EventLoop loop = new EventLoop(10, 1 << 20)) {
            EventLoop.ServerSocketHandle listening = loop.listen(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                    () -> true,
                    connection -> connection.start(handler));
            try (SocketChannel client = SocketChannel.open(listening.address())) {
                client.write(ByteBuffer.allocate(100));
            }
            assertNotNull(released.poll(30, TimeUnit.SECONDS));
            assertNull(released.poll(50, TimeUnit.MILLISECONDS));
            listening.close();
        }
    }
}
