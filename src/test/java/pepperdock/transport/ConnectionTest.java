package pepperdock.transport;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class ConnectionTest {

    /** Found by reading: a client could have as much held for it as its buffer may grow to, behind one request in hand. */
    @Test
    void whatIsNotUsedIsNotReadWithoutEnd() throws Exception {
        AtomicInteger most = new AtomicInteger();
        Connection.Handler lazy = new Connection.Handler() {
            @Override
            public void onBytes(Connection c) {
                most.accumulateAndGet(c.readEnd() - c.readStart(), Math::max);
            }

            @Override
            public void onClosed(Connection c) {}
        };
        try (EventLoop loop = new EventLoop(10, 1 << 20)) {
            EventLoop.ServerSocketHandle at =
                    loop.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), () -> true, c -> {
                        c.limitUnconsumedBytes(16 << 10);
                        c.start(lazy);
                    });
            try (SocketChannel client = SocketChannel.open(at.address())) {
                client.configureBlocking(false);
                ByteBuffer bytes = ByteBuffer.allocate(1 << 16);
                int refused = 0;
                for (int sent = 0; refused < 20 && sent < 1 << 26; ) {
                    int count = client.write(bytes.clear());
                    sent += count;
                    refused = count == 0 ? refused + 1 : 0;
                    Thread.sleep(count == 0 ? 10 : 0);
                }
                assertTrue(most.get() > 0 && most.get() < 64 << 10, "held " + most.get());
            }
            at.close();
        }
    }
}
