package pepperdock.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Runs the commands that simulate and measure the distribution of configuration. */
class ScaleCommandsTest {

    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int run(String... args) {
        return Cli.run(args, new PrintWriter(out, true), new PrintWriter(err, true));
    }

    @Test
    void configPrintsRowsAndLinesOfJson() {
        assertEquals(0, run("lab", "scale", "config", "--gatherers", "9", "--case", "CALM,CROSSING"), err.toString());
        List<String> lines = out.toString().lines().toList();
        assertEquals(4, lines.size(), out.toString());
        assertTrue(lines.get(1).startsWith("9 CALM "), lines.get(1));
        assertTrue(lines.get(2).endsWith("| 0"), lines.get(2));
        assertEquals("passed", lines.get(3));
        out.getBuffer().setLength(0);
        assertEquals(0, run("lab", "scale", "config", "--gatherers", "9", "--case", "CALM", "--json"));
        assertEquals(1, out.toString().lines().count());
        assertTrue(out.toString().startsWith("{\"gatherers\":9,\"case\":\"CALM\",\"courses\":1,"), out.toString());
    }

    @Test
    void configPrintsFindingsAndExitsWithOneIfCheckFails() {
        String[] tooLarge = {"lab", "scale", "config", "--gatherers", "9", "--case", "ALL_NEW", "--bytes", "200000"};
        assertEquals(1, run(tooLarge));
        assertTrue(out.toString().contains("FOUND ALL_NEW, 9 gatherers, seed 1: WITHIN_TIME"), out.toString());
        assertTrue(out.toString().endsWith("failed\n"), out.toString());
    }

    @Test
    void optionsThatMeasureNothingAreUsageErrors() {
        for (String option : List.of("--gatherers", "--seeds", "--cut", "--bytes")) {
            assertEquals(2, run("lab", "scale", "config", option, "0"), option);
        }
        for (String option : List.of("--subscribers", "--seconds", "--bytes")) {
            assertEquals(2, run("lab", "scale", "streams", option, "0"), option);
        }
        assertEquals(2, run("lab", "scale"));
    }

    @Test
    void streamsPrintsRowOfMeasurements() {
        assertEquals(0, run("lab", "scale", "streams", "--subscribers", "3", "--seconds", "1"), err.toString());
        assertEquals(2, out.toString().lines().count());
        assertTrue(out.toString().lines().toList().get(1).startsWith("3 | "), out.toString());
    }
}
