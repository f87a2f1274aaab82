package pepperdock.faultinjection;

import java.util.List;
import java.util.Set;

/**
 * Checks a history by states and by order, never by durations. It receives each event in turn, during the run or from
 * the file, and reports findings at once or at the end.
 */
interface Checker {

    /**
     * A finding: the checker, the number of the event that showed it (counted from 1), and a sentence on what was
     * wrong.
     */
    record Finding(String checker, long event, String what) {}

    void onEvent(long number, Event event);

    /**
     * Returns whether a condition that a script awaits holds now. Every checker must answer for {@code settled}, with
     * true if it expects nothing. Returns null if this checker does not know the condition.
     */
    Boolean holds(String condition, Set<String> members);

    /** Returns all findings; at the end of the history, these include what should have happened and did not. */
    List<Finding> findings(boolean atEnd);

    /** Returns metrics for the report, a name and a value on each line; they are not judged. */
    default List<String> metrics() {
        return List.of();
    }
}
