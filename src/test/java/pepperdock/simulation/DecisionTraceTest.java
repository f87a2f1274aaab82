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
 * A change of shape must not change a decision. Simulated days are played by seed, and the hash of all actions, in order, is
 * compared with the kept one. A change that is meant to decide differently renews the file in its own commit and says why.
 */
class DecisionTraceTest {

    private static final Path KEPT_HASHES = Path.of("src/test/resources/decision-traces.txt");
    private static final int SEEDS = 3;

    @Test
    void everyActionOfEverySimulatedDayIsTheKeptOne() throws Exception {
        List<String> played = new ArrayList<>();
        for (DecisionTraceDay.Kind kind : DecisionTraceDay.Kind.values()) {
            for (int seed = 1; seed <= SEEDS; seed++) {
                played.add(kind + " " + seed + " "
                        + DecisionTraceDay.play(kind, seed).hash());
            }
        }
        List<String> kept = Files.readAllLines(KEPT_HASHES).stream()
                .filter(line -> !line.startsWith("#"))
                .toList();
        assertEquals(String.join("\n", kept), String.join("\n", played), "decisions differ from " + KEPT_HASHES);
    }

    /** A day that asks too little of the scheduler would keep its hash whatever became of the rules. */
    @Test
    void theDaysTogetherTakeEveryKindOfAction() {
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
