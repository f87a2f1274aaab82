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
 * A listening socket that the loop itself accepts from. XNIO's usual one accepts on a thread of its own, as fast as clients
 * come, and hands over later: what it holds meanwhile is bounded by nothing but the system, and hundreds of clients that
 * come at once took the process over its limit of descriptors. XNIO's server for a channel that is there already can't be
 * reached from outside but by reflection; the version is fixed in the build, and tests listen with it.
 */
final class DirectServer {

    private DirectServer() {}

    /**
     * Accepts straight from the system, one connection for each that is asked for. {@code shared}: another process may listen
     * on the address too (SO_REUSEPORT, to be set before the address is bound), as an upgrade's two processes do.
     */
    static AcceptingChannel<StreamConnection> listen(
            XnioWorker worker,
            InetSocketAddress at,
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
            channel.bind(at, backlog);
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
            Constructor<?> made = Class.forName("org.xnio.nio.NioTcpServer")
                    .getDeclaredConstructor(
                            Class.forName("org.xnio.nio.NioXnioWorker"),
                            ServerSocketChannel.class,
                            OptionMap.class,
                            boolean.class);
            made.setAccessible(true);
            return (AcceptingChannel<StreamConnection>) made.newInstance(worker, channel, options, false);
        } catch (ReflectiveOperationException e) {
            throw new IOException("this version of XNIO can't accept on the loop", e);
        }
    }
}
