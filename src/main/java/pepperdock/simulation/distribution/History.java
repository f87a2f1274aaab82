package pepperdock.simulation.distribution;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.stream.Stream;

/** All events of a run, in order. */
public final class History {

    private final List<Event> events = new ArrayList<>();

    void add(Event event) {
        events.add(event);
    }

    /** Returns all events so far, as an unmodifiable view. */
    public List<Event> events() {
        return Collections.unmodifiableList(events);
    }

    /** Returns the events of one kind. */
    public <E extends Event> Stream<E> of(Class<E> kind) {
        return events.stream().filter(kind::isInstance).map(kind::cast);
    }
}
