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

/** The command line on the examples under deploy/, and on files made faulty key by key. */
class CliTest {

    private static final String RING = "deploy/plan/ring.json";

    @TempDir
    private Path folder;

    private record Ran(int status, String out, String err) {}

    private static Ran run(String... args) {
        StringWriter out = new StringWriter();
        StringWriter err = new StringWriter();
        int status = Cli.run(args, new PrintWriter(out, true), new PrintWriter(err, true));
        return new Ran(status, out.toString(), err.toString());
    }

    private String changed(String from, String to) throws IOException {
        String text = Files.readString(Path.of(RING));
        assertTrue(text.contains(from), from);
        Path file = folder.resolve("changed.json");
        Files.writeString(file, text.replace(from, to));
        return file.toString();
    }

    @Test
    void aProblemThatIsSolvedIsPutOutAsATable() {
        Ran ran = run("plan", RING);
        assertEquals(0, ran.status(), ran.err());
        assertTrue(ran.out().contains("greatest use 48.7 %"), ran.out());
        assertTrue(
                ran.out().lines().anyMatch(l -> l.startsWith("1 ") && l.endsWith("ledger-1 1.000, ledger-2 0.000")),
                ran.out());
    }

    @Test
    void oneWithoutASolutionEndsWithThreeAndNamesWhatCannotHold() {
        Ran ran = run("plan", "deploy/plan/too-much.json");
        assertEquals(3, ran.status());
        assertEquals(
                "no solution: range 2 (0.500 s/s), range 4 (0.600 s/s) need more than ledger-3 (0.900 s/s) can do:"
                        + " 122.2 % of it",
                ran.err().strip());
        Ran json = run("plan", "--json", "deploy/plan/too-much.json");
        assertEquals(3, json.status());
        assertTrue(json.out().contains("\"no_solution\""), json.out());
    }

    @Test
    void aPlanInForceIsComparedWith() throws IOException {
        Path inForce = folder.resolve("in-force.json");
        Files.writeString(inForce, run("plan", "--json", RING).out());
        assertEquals(
                "the plan in force stays",
                run("plan", "--against", inForce.toString(), RING).out().strip());
        Ran ran = run("plan", "--against", inForce.toString(), changed("\"capacity\": 1.5", "\"capacity\": 1.0"));
        assertTrue(ran.out().startsWith("6 shares change:"), ran.out());
    }

    @Test
    void aRangeIsExplained() {
        Ran ran = run("plan", "--explain", "1", RING);
        assertTrue(ran.out().contains("ledger-2 is not in service: no share"), ran.out());
        assertEquals(2, run("plan", "--explain", "77", RING).status());
    }

    @Test
    void faultyInputNamesItsKeyAndEndsWithTwo() throws IOException {
        String[][] cases = {
            {"\"capacity\": 1.5", "\"capacty\": 1.5", "nodes[3].capacty: unknown"},
            {"\"capacity\": 1.5", "\"capacity\": -1", "nodes[3].capacity: not from 0 to 1000000"},
            {"\"slow\": 1.4", "\"slow\": 0", "nodes[1].slow: not a factor from 0.01 to 1000"},
            {
                "\"state\": \"draining\"",
                "\"state\": \"tired\"",
                "nodes[2].state: none of in_service, draining, gone: tired"
            },
            {"\"range\": 3", "\"range\": 2", "ranges[3].range: a second 2"},
            {"\"name\": \"ledger-3\"", "\"name\": \"ledger-0\"", "nodes[3].name: a second ledger-0"},
            {"[\"ledger-3\", \"ledger-0\"]", "[\"ledger-9\"]", "ranges[3].holders: no such node: ledger-9"},
            {"[\"ledger-3\", \"ledger-0\"]", "[]", "ranges[3].holders: empty or missing"},
            {"\"zone\": \"schaarbeek-room\", \"rate\": 1", "\"zone\": \"moon\"", "gatherers[1].zone: no such zone: moon"
            },
            {"\"rate\": 2", "\"rate\": 2.5", "gatherers[0].rate: not a whole number from 0 to 1000"},
            {"\"cost\": 2}]", "\"cost\": -2}]", "crossings[1].cost: not from 0 to 1000000"},
        };
        for (String[] c : cases) {
            Ran ran = run("plan", changed(c[0], c[1]));
            assertEquals(2, ran.status(), c[2]);
            assertEquals(c[2], ran.err().strip());
        }
    }

    @Test
    void configurationIsCheckedAndUsageIsHeldTo() {
        assertEquals(
                "deploy/opensearch.json: sound",
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
