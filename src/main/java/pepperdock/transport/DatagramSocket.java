package pepperdock.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import org.xnio.IoUtils;
import org.xnio.channels.MulticastMessageChannel;
import org.xnio.channels.SocketAddressBuffer;

/**
 * A UDP socket on the loop. What can't be sent at once is lost, as any datagram may be; nothing is queued. Read in turns of
 * bounded length, so that a flood does not keep the loop from all else.
 */
public final class DatagramSocket implements AutoCloseable {

    /** One datagram: bytes that are the receiver's only until it returns. */
    public interface Receiver {
        /** A datagram has arrived; the bytes are valid until this returns. */
        void onDatagram(byte[] bytes, int length);
    }

    /** Larger ones are no messages of ours; they are cut, and refused by whoever reads them. */
    private static final int LARGEST = 2048;

    private static final int MAX_READS_PER_TURN = 64;

    private final MulticastMessageChannel channel;
    private final ByteBuffer in = ByteBuffer.allocate(LARGEST);

    DatagramSocket(MulticastMessageChannel channel, Receiver to) {
        this.channel = channel;
        channel.getReadSetter().set(c -> {
            try {
                for (int i = 0; i < MAX_READS_PER_TURN; i++) {
                    in.clear();
                    if (c.receiveFrom(new SocketAddressBuffer(), in) <= 0) {
                        return;
                    }
                    to.onDatagram(in.array(), in.position());
                }
            } catch (IOException e) {
                // An earlier datagram found nobody: told by some systems on the next call, and no news.
            }
        });
        channel.resumeReads();
    }
    /** The local address. */
    public InetSocketAddress address() {
        return channel.getLocalAddress(InetSocketAddress.class);
    }
    /** Sends a datagram, or drops it where the socket takes none now. */
    public void send(InetSocketAddress to, byte[] bytes) {
        try {
            channel.sendTo(to, ByteBuffer.wrap(bytes));
        } catch (IOException e) {
            // Lost.
        }
    }

    @Override
    public void close() {
        IoUtils.safeClose(channel);
    }
}
