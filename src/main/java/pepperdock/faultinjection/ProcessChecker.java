package pepperdock.faultinjection;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Holds for every run: a process ends only when the script ends it, and each that was started says that it is ready unless it
 * is ended before. {@code settled}: all that should run are ready.
 */
final class ProcessChecker implements Checker {

    private enum At {
        STARTED,
        READY,
        ENDING,
        ENDED
    }

    private final Map<String, At> at = new LinkedHashMap<>();
    private final List<Finding> found = new ArrayList<>();
    private long last;

    @Override
    public void see(long number, Event e) {
        last = number;
        if (!e.ofRig()) {
            if (e.what().equals("ready")) {
                at.computeIfPresent(e.who(), (m, was) -> was == At.STARTED ? At.READY : was);
            }
            return;
        }
        switch (e.what()) {
            case "start" -> set(e, At.STARTED);
            case "kill", "term", "end" -> set(e, At.ENDING);
            case "exit" -> {
                String member = e.text("member");
                if (at.get(member) != At.ENDING) {
                    found.add(new Finding(
                            "processes", number, member + " ended by itself, with status " + e.text("status")));
                }
                at.put(member, At.ENDED);
            }
            default -> {}
        }
    }

    private void set(Event e, At next) {
        for (String m : e.members()) {
            at.put(m, next);
        }
    }

    @Override
    public Boolean holds(String condition, Set<String> members) {
        return switch (condition) {
            case "settled" -> !at.containsValue(At.STARTED);
            case "ready" -> members.stream().allMatch(m -> at.get(m) == At.READY);
            default -> null;
        };
    }

    @Override
    public List<Finding> findings(boolean atEnd) {
        List<Finding> all = new ArrayList<>(found);
        if (atEnd) {
            at.forEach((m, a) -> {
                if (a == At.STARTED) {
                    all.add(new Finding("processes", last, m + " was never ready"));
                }
            });
        }
        return all;
    }
}
