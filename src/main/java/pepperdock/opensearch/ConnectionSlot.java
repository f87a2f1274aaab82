package pepperdock.opensearch;

import pepperdock.core.Attempt;
import pepperdock.transport.HttpClient;

/** One reusable connection to a worker and what it is used for. Owned by the I/O thread. */
final class ConnectionSlot {

    final HttpClient http;

    /** The attempt that the slot's request belongs to; null while idle, and for requests that belong to no attempt. */
    Attempt attempt;

    /** Whether its request is abandoned once the worker accepts no calls. */
    boolean onlyWhileAccepting;

    /** Reports that its request was never sent. */
    Runnable onNotSent;

    /** When it was last used, in seconds. */
    double usedAt;

    ConnectionSlot(HttpClient http) {
        this.http = http;
    }
}
