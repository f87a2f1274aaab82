package pepperdock.faultinjection;

import java.util.List;
import java.util.Set;

/**
 * Judges a history by states and by order, never by how long something took. Fed each event in turn, during the run or from
 * the file; what it finds wrong is told at once or at the end.
 */
interface Checker {

    /** A finding, the number of the event that showed it (counted from 1), and what was wrong, in a sentence. */
    record Finding(String checker, long event, String what) {}

    void see(long number, Event event);

    /**
     * Whether something holds now that a script awaits: {@code settled} is what every checker must answer for, and true
     * where it awaits nothing. Null where this checker does not know the condition.
     */
    Boolean holds(String condition, Set<String> members);

    /** All that was found wrong; at the history's end, with what had to come and did not. */
    List<Finding> findings(boolean atEnd);

    /** Figures to report: a name and a value a line; none judged. */
    default List<String> metrics() {
        return List.of();
    }
}
