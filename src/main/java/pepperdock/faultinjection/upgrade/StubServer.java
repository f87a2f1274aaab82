package pepperdock.faultinjection.upgrade;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A server on a loopback port that serves each connection on a thread of its own until that connection fails. */
abstract class StubServer implements Closeable {

    private static final int BACKLOG = 200;

    private final ServerSocket server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final String name;

    StubServer(String name) throws IOException {
        this.name = name;
    }

    /** Starts to accept connections; called at the end of the constructor of a subclass. */
    final void start() {
        startThread(this::accept);
    }

    /** Serves a connection until it ends; an exception ends it. */
    abstract void serve(Socket connection) throws IOException, InterruptedException;

    /** Returns the address as in an endpoint list. */
    public final String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Returns the connections that are open now. */
    final Set<Socket> connections() {
        return Set.copyOf(connections);
    }

    private void accept() {
        try {
            while (true) {
                Socket connection = server.accept();
                connection.setTcpNoDelay(true);
                connections.add(connection);
                startThread(() -> serveUntilClosed(connection));
            }
        } catch (IOException e) {
            // The stub has been closed.
        }
    }

    private void serveUntilClosed(Socket connection) {
        try (connection) {
            serve(connection);
        } catch (IOException e) {
            // The gatherer or a fault has closed the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            connections.remove(connection);
        }
    }

    private void startThread(Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket connection : connections) {
            connection.close();
        }
    }
}
