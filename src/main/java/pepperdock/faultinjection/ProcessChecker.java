package pepperdock.faultinjection;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks the processes of any run: a process ends only when the script ends it, and each started process reports that
 * it is ready, unless it is ended before. {@code settled}: all processes that should run are ready.
 */
final class ProcessChecker implements Checker {

    private enum State {
        STARTED,
        READY,
        ENDING,
        ENDED
    }

    private final Map<String, State> states = new LinkedHashMap<>();
    private final List<Finding> found = new ArrayList<>();
    private long lastEventNumber;

    @Override
    public void onEvent(long number, Event event) {
        lastEventNumber = number;
        if (!event.isRigEvent()) {
            if (event.what().equals("ready")) {
                states.computeIfPresent(event.who(), (m, was) -> was == State.STARTED ? State.READY : was);
            }
            return;
        }
        switch (event.what()) {
            case "start" -> setStates(event, State.STARTED);
            case "kill", "term", "end" -> setStates(event, State.ENDING);
            case "exit" -> {
                String member = event.text("member");
                if (states.get(member) != State.ENDING) {
                    found.add(new Finding(
                            "processes", number, member + " exited unexpectedly with status " + event.text("status")));
                }
                states.put(member, State.ENDED);
            }
            default -> {}
        }
    }

    private void setStates(Event event, State next) {
        for (String member : event.members()) {
            states.put(member, next);
        }
    }

    @Override
    public Boolean holds(String condition, Set<String> members) {
        return switch (condition) {
            case "settled" -> !states.containsValue(State.STARTED);
            case "ready" -> members.stream().allMatch(m -> states.get(m) == State.READY);
            default -> null;
        };
    }

    @Override
    public List<Finding> findings(boolean atEnd) {
        List<Finding> all = new ArrayList<>(found);
        if (atEnd) {
            states.forEach((m, a) -> {
                if (a == State.STARTED) {
                    all.add(new Finding("processes", lastEventNumber, m + " did not become ready"));
                }
            });
        }
        return all;
    }
}
