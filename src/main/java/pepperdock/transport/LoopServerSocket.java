package pepperdock.transport;

import java.io.IOException;
import java.lang.reflect.Constructor;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * Creates listening sockets from which the loop itself accepts. XNIO's usual server accepts on a thread of its own, as
 * fast as clients connect, and hands the connections over later. Only the operating system bounds how many it holds
 * meanwhile: hundreds of clients that connected at once took the process over its limit of descriptors. XNIO's server
 * for an existing channel is accessible by reflection only; the version of XNIO is fixed in the build, and tests listen
 * with this server.
 */
final class LoopServerSocket {

    private LoopServerSocket() {}

    /**
     * Listens on an address; each accept takes one connection straight from the operating system. If {@code shared},
     * another process may listen on the address too, as the two processes of an upgrade do (SO_REUSEPORT, which must be
     * set before the address is bound).
     */
    static AcceptingChannel<StreamConnection> listen(
            XnioWorker worker,
            InetSocketAddress address,
            int backlog,
            boolean shared,
            OptionMap options,
            ChannelListener<AcceptingChannel<StreamConnection>> accept)
            throws IOException {
        ServerSocketChannel channel = ServerSocketChannel.open();
        try {
            channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            channel.setOption(StandardSocketOptions.SO_REUSEPORT, shared);
            channel.configureBlocking(false);
            channel.bind(address, backlog);
            AcceptingChannel<StreamConnection> server = server(worker, channel, options);
            server.getAcceptSetter().set(accept);
            return server;
        } catch (IOException | RuntimeException e) {
            IoUtils.safeClose(channel);
            throw e;
        }
    }

    @SuppressWarnings("unchecked")
    private static AcceptingChannel<StreamConnection> server(
            XnioWorker worker, ServerSocketChannel channel, OptionMap options) throws IOException {
        try {
            Constructor<?> constructor = Class.forName("org.xnio.nio.NioTcpServer")
                    .getDeclaredConstructor(
                            Class.forName("org.xnio.nio.NioXnioWorker"),
                            ServerSocketChannel.class,
                            OptionMap.class,
                            boolean.class);
            constructor.setAccessible(true);
            return (AcceptingChannel<StreamConnection>) constructor.newInstance(worker, channel, options, false);
        } catch (ReflectiveOperationException e) {
            throw new IOException(
                    "this version of XNIO has no NioTcpServer for an existing channel, which the event loop needs", e);
        }
    }
}
