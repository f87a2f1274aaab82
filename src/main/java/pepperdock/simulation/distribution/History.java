package pepperdock.simulation.distribution;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.stream.Stream;

/** All events of a course, in their order. */
public final class History {

    private final List<Event> events = new ArrayList<>();

    void add(Event event) {
        events.add(event);
    }

    /** All events so far, as an unmodifiable view. */
    public List<Event> events() {
        return Collections.unmodifiableList(events);
    }

    /** Those of one kind. */
    public <E extends Event> Stream<E> of(Class<E> kind) {
        return events.stream().filter(kind::isInstance).map(kind::cast);
    }
}
