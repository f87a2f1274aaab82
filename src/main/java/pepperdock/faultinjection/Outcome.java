package pepperdock.faultinjection;

import java.util.List;

/**
 * The result of a run. {@code valid} is false if the machine was late by more than the script allows: then neither
 * findings nor their absence say anything about the program.
 */
public record Outcome(boolean valid, List<String> findings, List<String> metrics, double lateS) {

    /** Returns whether the run counts and nothing was found. */
    public boolean passed() {
        return valid && findings.isEmpty();
    }

    /** Returns the verdict: {@code passed}, {@code failed} or {@code does not count}. */
    public String verdict() {
        return !valid ? "does not count" : findings.isEmpty() ? "passed" : "failed";
    }
}
