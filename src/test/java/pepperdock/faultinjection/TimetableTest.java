package pepperdock.faultinjection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import pepperdock.config.Config;
import pepperdock.config.ConfigException;
import pepperdock.config.ConfigReader;
import pepperdock.faultinjection.LinkFaults.Fault;
import pepperdock.faultinjection.LinkFaults.Kind;
import pepperdock.faultinjection.LinkFaults.Pair;

/** The rig's pure half: what a script means, and what becomes of a datagram. */
class TimetableTest {

    private static Script script(int seed, String acts) {
        return ScriptReader.read(
                ConfigReader.of(
                        "", Config.parse("{\"members\":6,\"seed\":" + seed + ",\"script\":[" + acts + "]}", "")),
                Path.of("."));
    }

    private static List<Timetable.Timed> steps(String acts) {
        return Timetable.of(script(1, acts)).phases().get(0).steps();
    }

    @Test
    void theSameSeedDrawsTheSameTimetableAndAnotherSeedAnother() {
        String acts =
                "{\"fault\":\"drawn\",\"for\":300,\"every_s\":2,\"most_members\":2},{\"await\":\"settled\",\"members\":2}";
        assertEquals(Timetable.of(script(3, acts)), Timetable.of(script(3, acts)));
        assertTrue(!Timetable.of(script(3, acts)).equals(Timetable.of(script(4, acts))));
    }

    @Test
    void drawnEndsOfProcessesNeverTakeMoreThanTheyMayAtOnceAndAllComeBack() {
        for (int seed = 0; seed < 200; seed++) {
            Set<String> down = new java.util.TreeSet<>();
            int most = 0;
            for (Timetable.Timed t : Timetable.of(script(
                            seed,
                            "{\"fault\":\"drawn\",\"for\":200,\"every_s\":1,"
                                    + "\"kinds\":[\"kill\",\"lost\",\"stop\"],\"most_members\":2}"))
                    .phases()
                    .get(0)
                    .steps()) {
                if (t.step() instanceof Timetable.Signal s && s.what() != Timetable.Sent.CONT) {
                    s.members().forEach(m -> assertTrue(down.add(m), m));
                } else {
                    down.removeAll(
                            t.step() instanceof Timetable.Start s
                                    ? s.members()
                                    : ((Timetable.Signal) t.step()).members());
                }
                most = Math.max(most, down.size());
            }
            assertEquals(Set.of(), down);
            assertEquals(2, most);
        }
    }

    @Test
    void aFlipFlopEndsOffAndAPartitionThatMovesKeepsItsTimes() {
        List<Timetable.Timed> flips = steps("{\"at\":1,\"fault\":\"cut\",\"from\":[\"g1\"],\"for\":5,\"flip_s\":1}");
        assertEquals(
                List.of(1.0, 2.0, 3.0, 4.0, 5.0, 6.0),
                flips.stream().map(Timetable.Timed::at).toList());
        assertTrue(flips.get(5).step() instanceof Timetable.Off);
        Map<Integer, Integer> open = new HashMap<>();
        for (Timetable.Timed t : steps("{\"fault\":\"partition\",\"into\":3,\"for\":10,\"move_s\":4}")) {
            if (t.step() instanceof Timetable.On on) {
                // Three groups of two: each member is cut off from the four others.
                assertEquals(24, on.fault().pairs().size());
                open.put(on.number(), 1);
            } else {
                open.remove(((Timetable.Off) t.step()).number());
            }
            assertTrue(t.at() <= 10);
        }
        assertEquals(Map.of(), open);
    }

    @Test
    void faultsOnALinkAddUpAndEndSingly() {
        Pair ab = new Pair("a", "b");
        LinkFaults links = new LinkFaults();
        links.on(1, new Fault(Kind.LOSS, Set.of(ab), 0.5, 0));
        links.on(2, new Fault(Kind.LOSS, Set.of(ab), 0.5, 0));
        links.on(3, new Fault(Kind.DELAY, Set.of(ab), 0.1, 0));
        links.on(4, new Fault(Kind.CUT, Set.of(ab), 0, 0));
        links.on(5, new Fault(Kind.DUPLICATE, Set.of(ab), 1, 0));
        assertEquals(0, links.on(ab).fate(new Random(1)).length);
        links.off(4);
        assertEquals(0.75, links.on(ab).loss(), 1e-9);
        links.off(1);
        links.off(2);
        assertEquals(
                List.of(0.1, 0.1),
                java.util.Arrays.stream(links.on(ab).fate(new Random(1)))
                        .boxed()
                        .toList());
        assertEquals(LinkFaults.Effect.NONE, links.on(new Pair("b", "a")), "one way only");
    }

    @Test
    void aFaultyScriptIsRefusedByItsKey() {
        for (String[] bad : new String[][] {
            {"script[0].fault", "{\"fault\":\"fire\"}"},
            {"script[0].share", "{\"fault\":\"loss\",\"share\":1.5}"},
            {"script[0].from", "{\"fault\":\"cut\",\"from\":[\"g9\"]}"},
            {"script[0].for", "{\"fault\":\"cut\",\"flip_s\":1}"},
            {"script[0].members", "{\"fault\":\"kill\",\"members\":7}"},
            {"script[0].at", "{\"fault\":\"kill\",\"at\":-1}"},
            {"script[0].kinds", "{\"fault\":\"drawn\",\"for\":9,\"kinds\":[\"fire\"]}"},
            {"script[0].into", "{\"fault\":\"partition\"}"},
            {"script[0].folder", "{\"fault\":\"start\",\"folder\":\"x\"}"}
        }) {
            String said =
                    assertThrows(ConfigException.class, () -> script(1, bad[1])).getMessage();
            assertTrue(said.startsWith(bad[0] + ":"), said);
        }
    }
}
