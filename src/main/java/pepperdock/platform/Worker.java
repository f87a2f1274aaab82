package pepperdock.platform;

import java.util.ArrayList;
import java.util.List;
import pepperdock.config.Config;
import pepperdock.config.ConfigException;
import pepperdock.config.DeploymentSettings;
import pepperdock.core.Attempt;
import pepperdock.core.Gatherer;
import pepperdock.core.LogRateLimiter;
import pepperdock.core.PooledBackend;
import pepperdock.scheduler.AttemptOutcome;
import pepperdock.scheduler.LoadReport;
import pepperdock.transport.Connection;
import pepperdock.transport.Loop;

/** One worker: its connections, and the calls that wait for one to come up. */
final class Worker implements PooledBackend.PooledWorker {

    /** A silent connection is left for a new one only while there are fewer: the worker itself may stand still. */
    private static final int CONNECTIONS_MOST = 3;

    final String id;
    final Loop loop;
    final DeploymentSettings site;
    final Gatherer core;
    final LogRateLimiter notes;
    private final String dial;
    private final List<WorkerConnection> connections = new ArrayList<>();
    private final List<List<Attempt>> queued = new ArrayList<>();
    private boolean open = true;
    private boolean dialling;

    Worker(String id, String dial, Loop loop, DeploymentSettings site, Gatherer core, LogRateLimiter notes) {
        this.id = id;
        this.dial = dial;
        this.loop = loop;
        this.site = site;
        this.core = core;
        this.notes = notes;
    }

    @Override
    public String address() {
        return dial;
    }

    @Override
    public boolean isUnused() {
        return connections.isEmpty() && queued.isEmpty() && !dialling;
    }

    /** Told of its state; when it wants nothing new, what waits for a connection has not run and won't. */
    @Override
    public void setAcceptingCalls(boolean now) {
        open = now;
        if (!open) {
            endQueued(AttemptOutcome.NOT_SENT);
            List.copyOf(connections).forEach(c -> {
                c.endWaiting(AttemptOutcome.NOT_SENT);
                c.closeIfIdle();
            });
        }
    }

    /** Its address has changed: all that is out ends with the connections. */
    @Override
    public void retire() {
        open = false;
        endQueued(AttemptOutcome.NOT_SENT);
        List.copyOf(connections).forEach(WorkerConnection::abandon);
    }

    /**
     * A connection may carry fewer parts than a call: without the cut, one connection after another would be opened for a
     * call that fits none.
     */
    @Override
    public void send(List<Attempt> call) {
        int most = site.multiplex();
        for (int i = 0; i < call.size(); i += most) {
            sendWithin(call.subList(i, Math.min(call.size(), i + most)));
        }
    }

    private void sendWithin(List<Attempt> call) {
        if (!open) {
            call.forEach(a -> core.onAttemptEnded(a, AttemptOutcome.NOT_SENT, LoadReport.NONE, null));
            return;
        }
        WorkerConnection last = null;
        boolean confused = false;
        for (WorkerConnection c : connections) {
            if (c.confuses(call)) {
                confused = true;
            } else if (c.out() + call.size() <= site.multiplex()) {
                if (!c.silent()) {
                    c.send(call);
                    return;
                }
                last = c;
            }
        }
        if (connections.size() >= CONNECTIONS_MOST && (last != null || confused)) {
            if (last != null) {
                last.send(call);
            } else {
                // Ids that all of them may still bring an answer for: whose it is could not be told.
                call.forEach(a -> core.onAttemptEnded(a, AttemptOutcome.NOT_SENT, LoadReport.NONE, null));
            }
            return;
        }
        queued.add(List.copyOf(call));
        connect();
    }

    private void connect() {
        if (dialling) {
            return;
        }
        dialling = true;
        try {
            loop.dial(Config.address("dial", dial), site.dialS(), new Loop.Dialled() {
                @Override
                public void up(Connection c) {
                    dialling = false;
                    if (!open) {
                        c.close();
                        return;
                    }
                    connections.add(new WorkerConnection(Worker.this, c));
                    sendQueued();
                }

                @Override
                public void failed() {
                    dialling = false;
                    endQueued(AttemptOutcome.CONNECT_FAILED);
                }
            });
        } catch (ConfigException e) {
            dialling = false;
            endQueued(AttemptOutcome.CONNECT_FAILED);
        }
    }

    private void sendQueued() {
        List<List<Attempt>> calls = List.copyOf(queued);
        queued.clear();
        for (List<Attempt> call : calls) {
            List<Attempt> live = startable(call);
            if (!live.isEmpty()) {
                send(live);
            }
        }
    }

    /** Those of a call that may still begin; the others end without having run. */
    List<Attempt> startable(List<Attempt> call) {
        if (!open) {
            call.forEach(a -> core.onAttemptEnded(a, AttemptOutcome.NOT_SENT, LoadReport.NONE, null));
            return List.of();
        }
        return core.retainStartable(call);
    }

    private void endQueued(AttemptOutcome outcome) {
        List<List<Attempt>> calls = List.copyOf(queued);
        queued.clear();
        calls.forEach(call -> call.forEach(a -> core.onAttemptEnded(a, outcome, LoadReport.NONE, null)));
    }

    /**
     * Looks no further than the one connection it is out on: at a worker that wants nothing new the last give-up closes its
     * connection and takes it out of this list. Walked on, the exception ended the module's turn half way.
     */
    @Override
    public void cancel(Attempt a) {
        for (WorkerConnection c : connections) {
            if (c.cancel(a)) {
                return;
            }
        }
    }

    @Override
    public void closeIdleConnections() {
        List.copyOf(connections).forEach(WorkerConnection::closeIfIdle);
    }

    void remove(WorkerConnection c) {
        connections.remove(c);
    }

    /** A probe goes on a connection that stands; there is no use in opening one to ask. */
    @Override
    public void checkHealth() {
        if (connections.isEmpty()) {
            core.onHealthCheckEnded(id, AttemptOutcome.CONNECT_FAILED, 0, LoadReport.NONE);
        } else {
            connections.get(0).probe();
        }
    }

    boolean wantsNothingNew() {
        return !open;
    }
}
