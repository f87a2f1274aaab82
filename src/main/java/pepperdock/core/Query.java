package pepperdock.core;

import java.util.ArrayList;
import java.util.List;

/** A query in hand, from the moment it was taken to its one final answer. */
public final class Query {

    final long id;
    final Client client;
    final double endAt;
    final List<Part> parts = new ArrayList<>();
    boolean ended;
    Clock.Timer guard;
    private final Ask ask;

    Query(long id, Ask ask, Client client, double endAt) {
        this.id = id;
        this.ask = ask;
        this.client = client;
        this.endAt = endAt;
    }

    /** One for each query taken, never used again; the client's own id may be. */
    public long no() {
        return id;
    }

    public Ask ask() {
        return ask;
    }

    public List<Part> parts() {
        return List.copyOf(parts);
    }
}
