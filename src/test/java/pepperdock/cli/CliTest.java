package pepperdock.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs commands on the examples under deploy/ and on copies of them with one faulty key each. */
class CliTest {

    private static final String RING = "deploy/plan/ring.json";

    @TempDir
    private Path folder;

    private record RunResult(int status, String out, String err) {}

    private static RunResult run(String... args) {
        StringWriter out = new StringWriter();
        StringWriter err = new StringWriter();
        int status = Cli.run(args, new PrintWriter(out, true), new PrintWriter(err, true));
        return new RunResult(status, out.toString(), err.toString());
    }

    private String changed(String from, String to) throws IOException {
        String text = Files.readString(Path.of(RING));
        assertTrue(text.contains(from), from);
        Path file = folder.resolve("changed.json");
        Files.writeString(file, text.replace(from, to));
        return file.toString();
    }

    @Test
    void planPrintsSharesAsTable() {
        RunResult result = run("plan", RING);
        assertEquals(0, result.status(), result.err());
        assertTrue(result.out().contains("greatest use 48.7 %"), result.out());
        assertTrue(
                result.out()
                        .lines()
                        .anyMatch(line -> line.startsWith("1 ") && line.endsWith("ledger-1 1.000, ledger-2 0.000")),
                result.out());
    }

    @Test
    void planWithoutSolutionExitsWithThreeAndNamesConflict() {
        RunResult result = run("plan", "deploy/plan/too-much.json");
        assertEquals(3, result.status());
        assertEquals(
                "no solution: range 2 (0.500 s/s), range 4 (0.600 s/s) need more than ledger-3 (0.900 s/s) can do:"
                        + " 122.2 % of it",
                result.err().strip());
        RunResult json = run("plan", "--json", "deploy/plan/too-much.json");
        assertEquals(3, json.status());
        assertTrue(json.out().contains("\"no_solution\""), json.out());
    }

    @Test
    void planAgainstPrintsChangedShares() throws IOException {
        Path inForce = folder.resolve("in-force.json");
        Files.writeString(inForce, run("plan", "--json", RING).out());
        assertEquals(
                "the plan in force stays",
                run("plan", "--against", inForce.toString(), RING).out().strip());
        RunResult result =
                run("plan", "--against", inForce.toString(), changed("\"capacity\": 1.5", "\"capacity\": 1.0"));
        assertTrue(result.out().startsWith("6 shares change:"), result.out());
    }

    @Test
    void planExplainPrintsReasonsForRange() {
        RunResult result = run("plan", "--explain", "1", RING);
        assertTrue(result.out().contains("ledger-2 is not in service: no share"), result.out());
        assertEquals(2, run("plan", "--explain", "77", RING).status());
    }

    @Test
    void faultyProblemExitsWithTwoAndNamesKey() throws IOException {
        String[][] cases = {
            {"\"capacity\": 1.5", "\"capacty\": 1.5", "nodes[3].capacty: unknown"},
            {"\"capacity\": 1.5", "\"capacity\": -1", "nodes[3].capacity: must be from 0 to 1000000, but is -1.0"},
            {"\"slow\": 1.4", "\"slow\": 0", "nodes[1].slow: must be a factor from 0.01 to 1000, but is 0.0"},
            {
                "\"state\": \"draining\"",
                "\"state\": \"tired\"",
                "nodes[2].state: must be in_service, draining or gone, but is tired"
            },
            {
                "\"range\": 3",
                "\"range\": 2",
                "ranges[3].range: must be unique, but is also the number of an earlier range: 2"
            },
            {
                "\"name\": \"ledger-3\"",
                "\"name\": \"ledger-0\"",
                "nodes[3].name: must be unique, but is also the name of an earlier node: ledger-0"
            },
            {
                "[\"ledger-3\", \"ledger-0\"]",
                "[\"ledger-9\"]",
                "ranges[3].holders: must name only nodes of the problem, but names ledger-9"
            },
            {"[\"ledger-3\", \"ledger-0\"]", "[]", "ranges[3].holders: must have at least one node"},
            {
                "\"zone\": \"schaarbeek-room\", \"rate\": 1",
                "\"zone\": \"moon\"",
                "gatherers[1].zone: must be one of the zones, but is moon"
            },
            {"\"rate\": 2", "\"rate\": 2.5", "gatherers[0].rate: must be a whole number from 0 to 1000, but is 2.5"},
            {"\"cost\": 2}]", "\"cost\": -2}]", "crossings[1].cost: must be from 0 to 1000000, but is -2.0"},
        };
        for (String[] faulty : cases) {
            RunResult result = run("plan", changed(faulty[0], faulty[1]));
            assertEquals(2, result.status(), faulty[2]);
            assertEquals(faulty[2], result.err().strip());
        }
    }

    @Test
    void configCheckAcceptsFilesUnderDeployAndFaultyUsageExitsWithTwo() {
        assertEquals(
                "deploy/opensearch.json: valid",
                run("config", "check", "deploy/opensearch.json").out().strip());
        for (String member : List.of("anderlecht-1", "anderlecht-2", "anderlecht-3", "halle-1", "halle-2")) {
            assertEquals(
                    0,
                    run("config", "check", "deploy/members/" + member + ".json").status());
        }
        assertEquals(0, run("config", "check", "deploy/planned.json").status());
        assertEquals(0, run("config", "check", "deploy/dnssd-and-store.json").status());
        assertEquals(2, run("config", "check", RING).status());
        assertEquals(2, run("config", "check", "no-such-file").status());
        assertEquals(2, run().status());
        assertEquals(2, run("serve", "now").status());
        assertTrue(run("--help").out().contains("generate-completion"));
        assertTrue(run("generate-completion").out().contains("--against"));
    }
}
