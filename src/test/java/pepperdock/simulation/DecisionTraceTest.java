package pepperdock.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/**
 * Checks that refactoring does not change a decision: simulates days by seed and compares the hash of all actions, in
 * order, with the recorded one. A change that is meant to change decisions updates the file in its own commit and gives
 * the reason.
 */
class DecisionTraceTest {

    private static final Path RECORDED_HASHES = Path.of("src/test/resources/decision-traces.txt");
    private static final int SEEDS = 3;

    @Test
    void actionsOfEverySimulatedDayMatchTheRecordedHash() throws Exception {
        List<String> played = new ArrayList<>();
        for (DecisionTraceDay.Kind kind : DecisionTraceDay.Kind.values()) {
            for (int seed = 1; seed <= SEEDS; seed++) {
                played.add(kind + " " + seed + " "
                        + DecisionTraceDay.play(kind, seed).hash());
            }
        }
        List<String> recorded = Files.readAllLines(RECORDED_HASHES).stream()
                .filter(line -> !line.startsWith("#"))
                .toList();
        assertEquals(
                String.join("\n", recorded), String.join("\n", played), "decisions differ from " + RECORDED_HASHES);
    }

    /** A day that exercises too little of the scheduler would keep its hash even if the rules changed. */
    @Test
    void simulatedDaysTogetherTakeEveryKindOfAction() {
        Set<String> taken = new TreeSet<>();
        for (DecisionTraceDay.Kind kind : DecisionTraceDay.Kind.values()) {
            DecisionTraceDay.Trace trace = DecisionTraceDay.play(kind, 1);
            assertTrue(trace.actionCounts().get("send") > 1000, kind + ": " + trace.actionCounts());
            taken.addAll(trace.actionCounts().keySet());
        }
        assertTrue(
                taken.containsAll(Set.of("answer", "cancel", "close", "fail", "reject", "send", "timer", "watch")),
                taken.toString());
    }
}
