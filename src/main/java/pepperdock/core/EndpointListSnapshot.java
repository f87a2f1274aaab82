package pepperdock.core;

import java.util.List;

/**
 * A complete endpoint list as a process of this gatherer received it, for the other process of an upgrade. Immutable.
 *
 * @param source where the list comes from, such as the address of discovery; versions of one source are comparable
 * @param version the version of the list at its source
 * @param endpoints the listed endpoints
 */
public record EndpointListSnapshot(String source, long version, List<WorkerEndpoint> endpoints) {

    /** Copies the list of endpoints. */
    public EndpointListSnapshot {
        endpoints = List.copyOf(endpoints);
    }
}
