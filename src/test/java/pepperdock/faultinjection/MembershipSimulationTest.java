package pepperdock.faultinjection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import pepperdock.config.Config;
import pepperdock.config.ConfigReader;
import pepperdock.membership.MembershipSettings;

/**
 * Tests membership in simulated time with its default timings: hard cases over several seeds, among them each fault that
 * was found once.
 */
class MembershipSimulationTest {

    private static final MembershipSettings SETTINGS = MembershipSettings.of(0.5, 3, 3);

    private static Script script(int members, boolean strict, String acts) {
        String checker = strict ? "members-strict" : "members";
        return ScriptReader.read(
                ConfigReader.of(
                        "",
                        Config.parse(
                                "{\"members\":" + members + ",\"settle_s\":120,\"most_s\":1000,\"checkers\":"
                                        + "[\"processes\",\"" + checker + "\"],\"script\":[{\"await\":\"settled\"},"
                                        + acts.replace('\'', '"') + "]}",
                                "")),
                Path.of("."));
    }

    /** Returns the findings over this number of seeds, and adds the metrics of all runs. */
    private static List<String> found(Script script, MembershipSettings settings, int seeds, MembershipMetrics all) {
        List<String> found = new ArrayList<>();
        for (int seed = 1; seed <= seeds; seed++) {
            Checkers checkerSet = new Checkers(script.checkers());
            String unmet =
                    new MembershipSimulation(script.seeded(seed), settings, checkerSet::onEvent).play(checkerSet);
            String prefix = "seed " + seed + ": ";
            checkerSet.findings(true).forEach(f -> found.add(prefix + f.what()));
            if (unmet != null) {
                found.add(prefix + unmet);
            }
            all.add(checkerSet.membershipMetrics());
        }
        return found;
    }

    /**
     * Pauses, loss and cut links that membership promises to tolerate: no member that runs is declared faulty, and all views
     * agree afterwards.
     */
    @ParameterizedTest(name = "{0}")
    @CsvSource(delimiter = '|', textBlock = """
            a pause under the bound         | {'fault':'stop','members':1,'for':4.5}, {'at':12,'fault':'stop','members':1,'for':0.2}
            pause ends while one is cut off | {'fault':'stop','members':['g5'],'for':4.9}, {'at':4,'fault':'cut','from':['g2'],'both':true,'for':4}
            cut off just before a pause ends| {'fault':'stop','members':['g5'],'for':4.9}, {'at':4.8,'fault':'cut','from':['g2'],'both':true,'for':4}
            five of ten paused together     | {'fault':'stop','members':5,'for':4.5}
            all paused together             | {'fault':'stop','for':20}
            all delayed by short pauses     | {'fault':'stop','for':0.3,'apart_s':0.05}, {'at':1,'fault':'stop','for':1}, {'at':3,'fault':'stop','for':2}
            a third of all datagrams lost   | {'fault':'loss','share':0.3,'for':30}
            one link cut one way            | {'fault':'cut','from':['g2'],'to':['g3'],'for':30}
            all links into one cut          | {'fault':'cut','to':['g3'],'for':30}
            flipping cut out of one member  | {'fault':'cut','from':['g3'],'for':20,'flip_s':1}
            flipping cut into one member    | {'fault':'cut','to':['g3'],'for':20,'flip_s':1}
            A reaches B only through C      | {'fault':'cut','from':['g1'],'to':['g2'],'both':true,'for':30}
            partition into halves           | {'fault':'partition','into':2,'for':30}
            a clock an hour ahead at once   | {'fault':'clock','members':1,'by_s':3600}
            all clocks an hour ahead        | {'fault':'clock','by_s':3600}
            partition into thirds           | {'fault':'partition','into':3,'for':30}
            """)
    void toleratedFaultsCauseNoFalseVerdict(String name, String acts) {
        assertEquals(List.of(), found(script(10, true, acts), SETTINGS, 10, new MembershipMetrics()));
    }

    /**
     * Failures beyond what is tolerated, deaths and restarts: members may be declared faulty, but all views agree
     * afterwards.
     */
    @ParameterizedTest(name = "{0}")
    @CsvSource(delimiter = '|', textBlock = """
            a pause beyond the bound        | {'fault':'stop','members':1,'for':30}
            all links out of one cut        | {'fault':'cut','from':['g3'],'for':30}
            four fifths lost at one member  | {'fault':'loss','share':0.8,'from':['g4'],'for':60}, {'fault':'loss','share':0.8,'to':['g4'],'for':60}
            a minority cut off              | {'fault':'partition','groups':[{'members':['g1','g2','g3']},{'members':['g4','g5','g6','g7','g8','g9','g10']}],'for':30}
            a partition that moves          | {'fault':'partition','into':2,'for':40,'move_s':10}
            a third killed at once          | {'fault':'kill','members':3}, {'await':'settled'}, {'fault':'start'}
            all killed and started again    | {'fault':'kill','for':1}
            a rolling restart               | {'fault':'term','apart_s':3,'for':0.5}
            back before anyone noticed      | {'fault':'kill','members':1,'for':0.1,'folder':'empty'}
            the first seed gone for good    | {'fault':'kill','members':['g1']}, {'at':10,'fault':'kill','members':['g7'],'for':1}
            drawn faults                    | {'fault':'drawn','for':120,'every_s':4,'most_members':2}
            """)
    void viewsConvergeAfterFailures(String name, String acts) {
        assertEquals(List.of(), found(script(10, false, acts), SETTINGS, 10, new MembershipMetrics()));
    }

    /**
     * A zone with a third of the fleet loses power. Every other member detects every death, and nobody else is declared
     * faulty.
     */
    @Test
    void sixtyMembersDetectTheLossOfAThird() {
        MembershipMetrics metrics = new MembershipMetrics();
        assertEquals(List.of(), found(script(60, false, "{'fault':'kill','members':20}"), SETTINGS, 2, metrics));
        assertEquals(2 * 20 * 40, metrics.detectionMs.getTotalCount());
        assertEquals(0, metrics.falseVerdicts);
    }

    /**
     * Sixty members that join at once have more to tell each other than a small budget allows. Probes and their replies
     * take precedence: no member is suspected for lack of budget, the fleet settles, and a death is detected as usual.
     */
    @Test
    void sixtyMembersJoinAtOnceWithASmallBudget() {
        MembershipSettings small =
                new MembershipSettings(0.5, 3, 3, 8, 0.75, 2, 3, 0.5, 30, 3600, 50, 15_000, 2000, true);
        MembershipMetrics metrics = new MembershipMetrics();
        assertEquals(List.of(), found(script(60, true, "{'fault':'kill','members':1}"), small, 2, metrics));
        assertEquals(2 * 59, metrics.detectionMs.getTotalCount());
        assertTrue(metrics.detectionMs.getMaxValue() < 7_500, metrics.lines()::toString);
    }

    /** While members join and ten die, no member sends more than 1.5 times its budget in any second. */
    @Test
    void fleetOf150StaysWithinItsBudgetInEverySecond() {
        MembershipMetrics metrics = new MembershipMetrics();
        assertEquals(List.of(), found(script(150, true, "{'fault':'kill','members':10}"), SETTINGS, 1, metrics));
        assertEquals(10 * 140, metrics.detectionMs.getTotalCount());
        assertTrue(metrics.bytes.getMaxValue() <= 1.5 * SETTINGS.bytesPerS(), metrics.lines()::toString);
    }

    /**
     * A member that receives nothing suspects all others. It doubts itself, and several observers must agree; only
     * without both safeguards are the others declared faulty.
     */
    @Test
    void deafMemberCausesFalseVerdictsOnlyWithoutBothSafeguards() {
        String receivesNothing = "{'fault':'cut','to':['g3'],'for':20}";
        assertEquals(0, falseVerdicts(SeedSweep.Arm.FULL, receivesNothing));
        assertEquals(0, falseVerdicts(SeedSweep.Arm.NO_SELF_DOUBT, receivesNothing));
        assertEquals(0, falseVerdicts(SeedSweep.Arm.ONE_OBSERVER, receivesNothing));
        assertTrue(falseVerdicts(SeedSweep.Arm.PLAIN, receivesNothing) > 0);
    }

    private static long falseVerdicts(SeedSweep.Arm arm, String acts) {
        MembershipMetrics metrics = new MembershipMetrics();
        found(script(10, false, acts), arm.of(SETTINGS), 5, metrics);
        return metrics.falseVerdicts;
    }

    @Test
    void sameSeedGivesSameHistory() {
        Script script = script(8, false, "{'fault':'drawn','for':60,'every_s':3,'most_members':2}");
        List<String> first = new ArrayList<>();
        List<String> second = new ArrayList<>();
        for (List<String> to : List.of(first, second)) {
            Checkers checkerSet = new Checkers(script.checkers());
            new MembershipSimulation(script, SETTINGS, e -> {
                        checkerSet.onEvent(e);
                        to.add(e.toString());
                    })
                    .play(checkerSet);
        }
        assertTrue(first.size() > 500);
        assertEquals(first, second);
    }
}
