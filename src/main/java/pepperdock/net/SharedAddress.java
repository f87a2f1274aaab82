package pepperdock.net;

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
 * Listens on an address that another process may listen on too (SO_REUSEPORT): an upgrade's two processes share the clients'.
 * The option has to be set before the address is bound. XNIO opens and binds in one step and does not know the option, and
 * its own server for a channel that is there already can't be reached from outside but by reflection; the version is fixed in
 * the build, and a test listens twice.
 */
final class SharedAddress {

    private SharedAddress() {}

    /** Accepts straight from the system, so that whoever closes it can first take in all that wait. */
    static AcceptingChannel<StreamConnection> listen(
            XnioWorker worker,
            InetSocketAddress at,
            int backlog,
            OptionMap options,
            ChannelListener<AcceptingChannel<StreamConnection>> accept)
            throws IOException {
        ServerSocketChannel channel = ServerSocketChannel.open();
        try {
            channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            channel.setOption(StandardSocketOptions.SO_REUSEPORT, true);
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
            throw new IOException("an address can't be shared with this version of XNIO", e);
        }
    }
}
