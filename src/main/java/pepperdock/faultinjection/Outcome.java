package pepperdock.faultinjection;

import java.util.List;

/**
 * What came of a run. {@code counts} is false where the machine was late by more than the script allows: then neither
 * findings nor their absence say anything of the program.
 */
public record Outcome(boolean counts, List<String> findings, List<String> metrics, double lateS) {

    /** Whether the run counts and nothing was found. */
    public boolean passed() {
        return counts && findings.isEmpty();
    }

    /** The verdict in a word. */
    public String verdict() {
        return !counts ? "does not count" : findings.isEmpty() ? "passed" : "failed";
    }
}
