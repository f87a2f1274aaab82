package pepperdock.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import org.xnio.IoUtils;
import org.xnio.channels.MulticastMessageChannel;
import org.xnio.channels.SocketAddressBuffer;

/**
 * A UDP socket on the loop. A datagram that can't be sent at once is lost, as any datagram may be; nothing is queued.
 * The number of reads per turn of the loop is bounded, so that a flood of datagrams does not block the loop's other
 * work.
 */
public final class DatagramSocket implements AutoCloseable {

    /** Receives the datagrams of a socket. */
    public interface Receiver {
        /** Called when a datagram has arrived; the bytes are valid only until this returns. */
        void onDatagram(byte[] bytes, int length);
    }

    /** Longer datagrams are not messages of this program: they are truncated, and the receiver rejects them. */
    private static final int MAX_DATAGRAM_BYTES = 2048;

    private static final int MAX_READS_PER_TURN = 64;

    private final MulticastMessageChannel channel;
    private final ByteBuffer input = ByteBuffer.allocate(MAX_DATAGRAM_BYTES);

    DatagramSocket(MulticastMessageChannel channel, Receiver receiver) {
        this.channel = channel;
        channel.getReadSetter().set(readable -> {
            try {
                for (int i = 0; i < MAX_READS_PER_TURN; i++) {
                    input.clear();
                    if (readable.receiveFrom(new SocketAddressBuffer(), input) <= 0) {
                        return;
                    }
                    receiver.onDatagram(input.array(), input.position());
                }
            } catch (IOException e) {
                // Some systems report on the next call that an earlier datagram was not delivered: this is ignored.
            }
        });
        channel.resumeReads();
    }
    /** Returns the local address. */
    public InetSocketAddress address() {
        return channel.getLocalAddress(InetSocketAddress.class);
    }
    /** Sends a datagram, or drops it if the socket cannot take it now. */
    public void send(InetSocketAddress address, byte[] bytes) {
        try {
            channel.sendTo(address, ByteBuffer.wrap(bytes));
        } catch (IOException e) {
            // The datagram is lost, as any may be.
        }
    }

    @Override
    public void close() {
        IoUtils.safeClose(channel);
    }
}
