package pepperdock.platform;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The connections on which results have arrived since the last batch was reported to the scheduler. Shared by the
 * connections of one backend; owned by the loop's thread.
 */
final class UnreportedResults {

    private Set<WorkerConnection> connections = new LinkedHashSet<>();

    /** Adds a connection on which a result has arrived. */
    void add(WorkerConnection connection) {
        connections.add(connection);
    }

    /** Reads what has arrived behind these results by now, and forgets the connections. */
    void poll() {
        if (connections.isEmpty()) {
            return;
        }
        Set<WorkerConnection> polled = connections;
        connections = new LinkedHashSet<>();
        polled.forEach(WorkerConnection::pollBehindResults);
    }
}
