package pepperdock.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Runs the built jar and feeds it hand-written lines of the wire protocol. */
class SimulatorAdapterIT {

    private static final String ENV = """
            {"Unknown":1,"Instances":1,"TickS":0.005,"Discovery":"automatic",
            "RequestClasses":[{"GoalTimeS":2,"DeadlineS":6,"Effect":"read_like"}],
            "FamilyInfo":{"Slices":2,"Cells":1,"Span":1},"Limits":{"MaxAttempts":2},"Rules":{}}""".replace("\n", "");
    private static final String START = """
            {"cmd":"Tick","ClockS":1.0,"n":1}
            {"cmd":"Page","Buffer":0,"NodesList":[{"Searcher":"s:1","Campus":0,"Place":0,"Readiness":"healthy"}]}
            {"cmd":"Attach","Mixer":4,"Salt":9,"Env":%s}
            {"cmd":"Targets","Mixer":4,"How":"C","Rev":1,"Buffer":0}
            {"cmd":"Commit"}
            """.formatted(ENV);
    private static final String QUERY = """
            {"cmd":"Tick","ClockS":2.0,"n":2}
            {"cmd":"Order","Mixer":4,"Tid":10,"Profile":0,"RemainingS":6.0,"QueryNo":1,"Shard":-1,"ShareOrCount":1,"New":[1]}
            {"cmd":"Order","Mixer":4,"Tid":11,"Profile":0,"RemainingS":6.0,"QueryNo":1,"Shard":1,"ShareOrCount":1.0}
            {"cmd":"Commit"}
            """;

    private record RunResult(int status, List<String> out, List<String> err) {}

    private static RunResult run(String input) throws Exception {
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-jar",
                        Path.of("target", "pepperdock.jar").toString(),
                        "drill")
                .start();
        process.getOutputStream().write(input.getBytes(StandardCharsets.UTF_8));
        process.getOutputStream().close();
        List<String> out = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
                .lines()
                .toList();
        List<String> err = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8)
                .lines()
                .toList();
        assertTrue(process.waitFor(30, TimeUnit.SECONDS));
        return new RunResult(process.exitValue(), out, err);
    }

    /** A gatherer starts, a query of one part arrives, its attempt is answered, and the query with it. */
    @Test
    void servesAQueryFromStartToAnswer() throws Exception {
        RunResult result = run(START + QUERY + """
                {"cmd":"Tick","ClockS":2.1,"n":3}
                {"cmd":"AttemptEnd","Mixer":4,"Tid":11,"SeqNo":0,"Searcher":"s:1","Code":"ok","SpentS":0.1,"Settled":true,"Report":null}
                {"cmd":"Commit"}
                """);
        assertEquals(0, result.status());
        assertEquals(
                List.of(
                        "{\"cmd\":\"Eor\",\"n\":1}",
                        "{\"cmd\":\"Try\",\"Mixer\":4,\"Tid\":11,\"Searcher\":\"s:1\",\"UntilS\":3.96}",
                        "{\"cmd\":\"SetTimer\",\"Mixer\":4,\"FromNowS\":0.025,\"Cookie\":\"sweep\"}",
                        "{\"cmd\":\"Eor\",\"n\":2}",
                        "{\"cmd\":\"Conclude\",\"Mixer\":4,\"Tid\":10,\"Whole\":true}",
                        "{\"cmd\":\"Eor\",\"n\":3}"),
                result.out());
    }

    /**
     * A gatherer restarts with a query in flight. A cancellation of that query and a timer set before the restart still
     * arrive; the new incarnation knows neither and must ignore both.
     */
    @Test
    void restartDiscardsStateAndIgnoresIdsOfTheEarlierIncarnation() throws Exception {
        RunResult result = run(START + QUERY + """
                {"cmd":"Tick","ClockS":2.1,"n":3}
                {"cmd":"Down","Mixer":4}
                {"cmd":"Attach","Mixer":4,"Salt":10,"Env":%s}
                {"cmd":"Targets","Mixer":4,"How":"C","Rev":1,"Buffer":0}
                {"cmd":"Aborted","Mixer":4,"Tid":10}
                {"cmd":"Bell","Mixer":4,"Cookie":"sweep"}
                {"cmd":"Commit"}
                """.formatted(ENV));
        assertEquals(0, result.status());
        assertEquals("{\"cmd\":\"Eor\",\"n\":2}", result.out().get(3));
        assertEquals(
                List.of("{\"cmd\":\"Eor\",\"n\":3}"),
                result.out().subList(4, result.out().size()));
    }

    /**
     * The simulator sends a line that is truncated, lacks a field or is not valid at this point. The run ends with one
     * message.
     */
    @Test
    void invalidLineEndsTheRunWithOneMessageThatNamesIt() throws Exception {
        String[][] cases = {
            {"{\"cmd\":\"Tick\",\"ClockS\":", "line 6"},
            {"[1]", "not a JSON object"},
            {"{\"cmd\":\"Tick\",\"n\":2}", "missing field ClockS"},
            {"{\"cmd\":\"Tick\",\"ClockS\":2.0,\"n\":2}\n{\"cmd\":\"Nonsense\",\"Mixer\":4}", "unknown event Nonsense"},
            {"{\"cmd\":\"Tick\",\"ClockS\":2.0,\"n\":2}\n{\"cmd\":\"Aborted\",\"Mixer\":4}", "missing field Tid"},
            {"{\"cmd\":\"Tick\",\"ClockS\":2.0,\"n\":2}\n{\"cmd\":\"Aborted\",\"Mixer\":5,\"Tid\":1}", "not attached"},
            {"{\"cmd\":\"Commit\"}", "outside a batch"},
        };
        for (String[] bad : cases) {
            RunResult result = run(START + bad[0] + "\n");
            assertNotZero(result.status());
            assertEquals(1, result.err().size(), String.join("\n", result.err()));
            assertTrue(
                    result.err().get(0).startsWith("drill: line ")
                            && result.err().get(0).contains(bad[1]),
                    result.err().get(0));
        }
    }

    /**
     * A query names a class that the settings do not have, so the scheduler throws. The fault is reported to the
     * simulator for that gatherer, and the run continues.
     */
    @Test
    void schedulerFaultIsReportedForItsGatherer() throws Exception {
        RunResult result = run(START + QUERY.replace("\"Profile\":0", "\"Profile\":7"));
        assertEquals(0, result.status());
        assertTrue(
                result.out().stream()
                        .anyMatch(line -> line.startsWith("{\"cmd\":\"Broken\",\"Mixer\":4,\"NoteText\":")),
                String.join("\n", result.out()));
    }

    /**
     * A worker never answers a call, which times out. The connection may be dead, so it is closed before the next call
     * goes there.
     */
    @Test
    void connectionOfAnUnansweredCallIsClosedBeforeTheNextCall() throws Exception {
        RunResult result = run(START + QUERY + """
                {"cmd":"Tick","ClockS":3.9,"n":3}
                {"cmd":"Bell","Mixer":4,"Cookie":"sweep"}
                {"cmd":"Commit"}
                {"cmd":"Tick","ClockS":3.93,"n":4}
                {"cmd":"Bell","Mixer":4,"Cookie":"sweep"}
                {"cmd":"Commit"}
                {"cmd":"Tick","ClockS":3.96,"n":5}
                {"cmd":"AttemptEnd","Mixer":4,"Tid":11,"SeqNo":0,"Searcher":"s:1","Code":"timeout","SpentS":1.96,"Settled":false,"Report":null}
                {"cmd":"Commit"}
                """
                + QUERY.replace("\"Tid\":1", "\"Tid\":2")
                        .replace("\"QueryNo\":1", "\"QueryNo\":2")
                        .replace("\"ClockS\":2.0,\"n\":2", "\"ClockS\":9.0,\"n\":6"));
        assertEquals(0, result.status());
        int drop = result.out().indexOf("{\"cmd\":\"DropConns\",\"Mixer\":4,\"Searcher\":\"s:1\"}");
        assertTrue(
                drop > 0 && result.out().get(drop + 1).startsWith("{\"cmd\":\"Try\",\"Mixer\":4,\"Tid\":21,"),
                String.join("\n", result.out()));
    }

    private static void assertNotZero(int status) {
        assertTrue(status != 0, "exit status " + status);
    }
}
