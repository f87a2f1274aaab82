package pepperdock.platform;

import java.util.ArrayList;
import java.util.List;
import pepperdock.config.Config;
import pepperdock.config.ConfigException;
import pepperdock.core.Attempt;
import pepperdock.core.PooledBackend;
import pepperdock.scheduler.AttemptOutcome;
import pepperdock.scheduler.LoadReport;
import pepperdock.transport.Connection;
import pepperdock.transport.EventLoop;

/**
 * The connections to one worker, and the calls that are queued until a new connection is established.
 *
 * <p>A call is sent on the first connection that has capacity for it and is responsive; otherwise a new connection is
 * opened, one at a time. The outcome of each attempt is reported to the core exactly once, unless the attempt is
 * cancelled first. Owned by the loop's thread.
 */
final class WorkerConnectionPool implements PooledBackend.PooledWorker {

    /**
     * While a worker has this many connections, no further one is opened only because one of them is unresponsive or
     * has a conflicting id: the worker may have stalled.
     */
    private static final int REPLACEMENT_LIMIT = 3;

    private final WorkerContext context;
    private final String address;
    private final List<WorkerConnection> connections = new ArrayList<>();
    private final List<List<Attempt>> queuedCalls = new ArrayList<>();
    private boolean acceptingCalls = true;
    private boolean connecting;

    WorkerConnectionPool(WorkerContext context, String address) {
        this.context = context;
        this.address = address;
    }

    @Override
    public String address() {
        return address;
    }

    @Override
    public boolean isUnused() {
        return connections.isEmpty() && queuedCalls.isEmpty() && !connecting;
    }

    boolean isAcceptingCalls() {
        return acceptingCalls;
    }

    /**
     * Sets whether calls may be sent. Once the worker is draining or gone, calls that wait for a connection end: they
     * have not run and never will.
     */
    @Override
    public void setAcceptingCalls(boolean accepting) {
        acceptingCalls = accepting;
        if (!acceptingCalls) {
            endQueuedCalls(AttemptOutcome.NOT_SENT);
            for (WorkerConnection connection : List.copyOf(connections)) {
                connection.endPendingCalls(AttemptOutcome.NOT_SENT);
                connection.pollBehindResults();
            }
        }
    }

    /** Closes all connections, because the worker's address has changed; attempts in flight end with them. */
    @Override
    public void retire() {
        acceptingCalls = false;
        endQueuedCalls(AttemptOutcome.NOT_SENT);
        List.copyOf(connections).forEach(WorkerConnection::abort);
    }

    /**
     * Sends a call, split into calls that fit on one connection. A connection may carry fewer parts than a call has:
     * unless the call is split, no connection would ever have capacity for it, and new ones would be opened for
     * nothing.
     */
    @Override
    public void send(List<Attempt> call) {
        int limit = context.settings().partsPerConnection();
        for (int from = 0; from < call.size(); from += limit) {
            sendOnOneConnection(call.subList(from, Math.min(call.size(), from + limit)));
        }
    }

    private void sendOnOneConnection(List<Attempt> call) {
        if (!acceptingCalls) {
            context.endAttempts(call, AttemptOutcome.NOT_SENT);
            return;
        }
        WorkerConnection unresponsive = null;
        boolean idConflict = false;
        for (WorkerConnection connection : connections) {
            if (connection.hasIdConflict(call)) {
                idConflict = true;
            } else if (connection.unfinishedPartCount() + call.size()
                    <= context.settings().partsPerConnection()) {
                if (!connection.isUnresponsive()) {
                    connection.send(call);
                    return;
                }
                unresponsive = connection;
            }
        }
        boolean atReplacementLimit = connections.size() >= REPLACEMENT_LIMIT;
        if (atReplacementLimit && unresponsive != null) {
            unresponsive.send(call);
        } else if (atReplacementLimit && idConflict) {
            // A result could not be distinguished from that of an earlier query with the same id.
            context.endAttempts(call, AttemptOutcome.NOT_SENT);
        } else {
            queuedCalls.add(List.copyOf(call));
            connect();
        }
    }

    private void connect() {
        if (connecting) {
            return;
        }
        connecting = true;
        try {
            context.loop()
                    .connect(
                            Config.parseAddress("dial", address),
                            context.settings().connectTimeoutS(),
                            new EventLoop.ConnectListener() {
                                @Override
                                public void onConnected(Connection connection) {
                                    addConnection(connection);
                                }

                                @Override
                                public void onFailed() {
                                    onConnectFailed();
                                }
                            });
        } catch (ConfigException e) {
            onConnectFailed();
        }
    }

    private void addConnection(Connection connection) {
        connecting = false;
        if (!acceptingCalls) {
            connection.close();
            return;
        }
        connections.add(new WorkerConnection(this, context, connection));
        sendQueuedCalls();
    }

    private void onConnectFailed() {
        connecting = false;
        endQueuedCalls(AttemptOutcome.CONNECT_FAILED);
    }

    private void sendQueuedCalls() {
        List<List<Attempt>> calls = List.copyOf(queuedCalls);
        queuedCalls.clear();
        for (List<Attempt> call : calls) {
            List<Attempt> startable = retainStartable(call);
            if (!startable.isEmpty()) {
                send(startable);
            }
        }
    }

    /** Returns the attempts of a delayed call that may still start; the others end without having run. */
    List<Attempt> retainStartable(List<Attempt> call) {
        if (!acceptingCalls) {
            context.endAttempts(call, AttemptOutcome.NOT_SENT);
            return List.of();
        }
        return context.core().retainStartable(call);
    }

    private void endQueuedCalls(AttemptOutcome outcome) {
        List<List<Attempt>> calls = List.copyOf(queuedCalls);
        queuedCalls.clear();
        calls.forEach(call -> context.endAttempts(call, outcome));
    }

    /**
     * Cancels an attempt. The loop ends at the connection that carries it: if the worker is draining, the last
     * cancellation closes that connection and removes it from the list that is being iterated.
     */
    @Override
    public void cancel(Attempt attempt) {
        for (WorkerConnection connection : connections) {
            if (connection.cancel(attempt)) {
                return;
            }
        }
    }

    @Override
    public void closeIdleConnections() {
        List.copyOf(connections).forEach(WorkerConnection::closeIfIdle);
    }

    /** Removes a connection that has been closed. */
    void onConnectionClosed(WorkerConnection connection) {
        connections.remove(connection);
    }

    /**
     * Sends a health check on an established connection. No connection is opened for it: if there is none, the check
     * fails.
     */
    @Override
    public void checkHealth() {
        if (connections.isEmpty()) {
            context.core().onHealthCheckEnded(context.workerId(), AttemptOutcome.CONNECT_FAILED, 0, LoadReport.NONE);
        } else {
            connections.get(0).checkHealth();
        }
    }
}
