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

/** Tests the parts without I/O: the schedule of a script, and the effect of faults on a datagram. */
class FaultScheduleTest {

    private static Script script(int seed, String acts) {
        return ScriptReader.read(
                ConfigReader.of(
                        "", Config.parse("{\"members\":6,\"seed\":" + seed + ",\"script\":[" + acts + "]}", "")),
                Path.of("."));
    }

    private static List<FaultSchedule.TimedStep> steps(String acts) {
        return FaultSchedule.of(script(1, acts)).phases().get(0).steps();
    }

    @Test
    void sameSeedGivesSameScheduleAndAnotherSeedAnother() {
        String acts =
                "{\"fault\":\"drawn\",\"for\":300,\"every_s\":2,\"most_members\":2},{\"await\":\"settled\",\"members\":2}";
        assertEquals(FaultSchedule.of(script(3, acts)), FaultSchedule.of(script(3, acts)));
        assertTrue(!FaultSchedule.of(script(3, acts)).equals(FaultSchedule.of(script(4, acts))));
    }

    @Test
    void randomProcessFaultsKeepTheMaximumDownAtOnceAndAllMembersReturn() {
        for (int seed = 0; seed < 200; seed++) {
            Set<String> down = new java.util.TreeSet<>();
            int most = 0;
            for (FaultSchedule.TimedStep t : FaultSchedule.of(script(
                            seed,
                            "{\"fault\":\"drawn\",\"for\":200,\"every_s\":1,"
                                    + "\"kinds\":[\"kill\",\"lost\",\"stop\"],\"most_members\":2}"))
                    .phases()
                    .get(0)
                    .steps()) {
                if (t.step() instanceof FaultSchedule.SendSignal s && s.signal() != FaultSchedule.ProcessSignal.CONT) {
                    s.members().forEach(m -> assertTrue(down.add(m), m));
                } else {
                    down.removeAll(
                            t.step() instanceof FaultSchedule.StartMembers s
                                    ? s.members()
                                    : ((FaultSchedule.SendSignal) t.step()).members());
                }
                most = Math.max(most, down.size());
            }
            assertEquals(Set.of(), down);
            assertEquals(2, most);
        }
    }

    @Test
    void flippingFaultEndsSwitchedOffAndMovingPartitionKeepsItsDuration() {
        List<FaultSchedule.TimedStep> flips =
                steps("{\"at\":1,\"fault\":\"cut\",\"from\":[\"g1\"],\"for\":5,\"flip_s\":1}");
        assertEquals(
                List.of(1.0, 2.0, 3.0, 4.0, 5.0, 6.0),
                flips.stream().map(FaultSchedule.TimedStep::at).toList());
        assertTrue(flips.get(5).step() instanceof FaultSchedule.EndFault);
        Map<Integer, Integer> open = new HashMap<>();
        for (FaultSchedule.TimedStep t : steps("{\"fault\":\"partition\",\"into\":3,\"for\":10,\"move_s\":4}")) {
            if (t.step() instanceof FaultSchedule.BeginFault on) {
                // Three groups of two: each member is cut off from the four others.
                assertEquals(24, on.fault().pairs().size());
                open.put(on.number(), 1);
            } else {
                open.remove(((FaultSchedule.EndFault) t.step()).number());
            }
            assertTrue(t.at() <= 10);
        }
        assertEquals(Map.of(), open);
    }

    @Test
    void faultsOnALinkCombineAndEndSeparately() {
        Pair ab = new Pair("a", "b");
        LinkFaults links = new LinkFaults();
        links.begin(1, new Fault(Kind.LOSS, Set.of(ab), 0.5, 0));
        links.begin(2, new Fault(Kind.LOSS, Set.of(ab), 0.5, 0));
        links.begin(3, new Fault(Kind.DELAY, Set.of(ab), 0.1, 0));
        links.begin(4, new Fault(Kind.CUT, Set.of(ab), 0, 0));
        links.begin(5, new Fault(Kind.DUPLICATE, Set.of(ab), 1, 0));
        assertEquals(0, links.effectOn(ab).arrivalDelays(new Random(1)).length);
        links.end(4);
        assertEquals(0.75, links.effectOn(ab).loss(), 1e-9);
        links.end(1);
        links.end(2);
        assertEquals(
                List.of(0.1, 0.1),
                java.util.Arrays.stream(links.effectOn(ab).arrivalDelays(new Random(1)))
                        .boxed()
                        .toList());
        assertEquals(LinkFaults.Effect.NONE, links.effectOn(new Pair("b", "a")), "the reverse direction has no fault");
    }

    @Test
    void invalidScriptIsRejectedWithItsKey() {
        for (String[] invalid : new String[][] {
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
            String message = assertThrows(ConfigException.class, () -> script(1, invalid[1]))
                    .getMessage();
            assertTrue(message.startsWith(invalid[0] + ":"), message);
        }
    }
}
