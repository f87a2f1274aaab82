package pepperdock.simulation.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.LongFunction;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import pepperdock.store.raft.HardState;
import pepperdock.store.raft.PersistedState;
import pepperdock.store.raft.RaftMessage;
import pepperdock.store.raft.RaftPeerState;
import pepperdock.store.raft.RaftServer;
import pepperdock.store.raft.RaftSettings;
import pepperdock.store.raft.VoterConfiguration;

/** Consensus among crashes, lost disks, cuts and changes: nothing is found, but where a fault is planted. */
class ExplorerTest {

    private static final RaftSettings SETTINGS = new RaftSettings(5, 1, 48, 4, 4096, 1);
    private static final int STEPS = 3000;

    private static List<Explorer.Walk> walks(LongFunction<World> worlds, Explorer.Mix mix, int seeds, int steps) {
        Explorer explorer = new Explorer(worlds, mix);
        return LongStream.rangeClosed(1, seeds)
                .parallel()
                .mapToObj(s -> explorer.walk(s, steps))
                .toList();
    }

    @ParameterizedTest(name = "{0}: {1} processes, {2} of them voters at first")
    @CsvSource({"ALL, 3, 3", "ALL, 5, 3", "ALL, 5, 5", "ALL, 4, 1", "ELECTIONS, 5, 5", "SNAPSHOTS, 3, 3"})
    void nothingIsFound(Explorer.Mix mix, int processes, int voters) {
        List<Explorer.Walk> walks = walks(seed -> new World(processes, voters, SETTINGS, seed), mix, 200, STEPS);
        for (Explorer.Walk w : walks) {
            assertEquals(List.of(), w.violations(), "seed " + w.seed());
        }
        long[] sums = new long[3];
        walks.forEach(w -> {
            for (int i = 0; i < sums.length; i++) {
                sums[i] += w.counts()[i];
            }
        });
        assertTrue(
                sums[0] >= 400 && sums[1] >= 400,
                "what was played was worth it: " + List.of(sums[0], sums[1], sums[2]));
    }

    private static int voters(String fault) {
        return fault.startsWith("commit of an older term") ? 5 : 3;
    }

    private static RaftServer plantedServer(
            String fault, long id, RaftSettings settings, PersistedState saved, long chance) {
        return new RaftServer(id, settings, saved, chance) {
            @Override
            protected boolean mayCommit(long index) {
                return fault.equals("commit of an older term") || super.mayCommit(index);
            }

            @Override
            protected boolean mayChangeTo(VoterConfiguration to) {
                return fault.equals("two changes at once") ? !to.voters().isEmpty() : super.mayChangeTo(to);
            }

            @Override
            protected boolean coversSnapshot(long index, long indexTerm) {
                return fault.equals("a snapshot over newer entries")
                        ? index <= commitIndex()
                        : super.coversSnapshot(index, indexTerm);
            }
        };
    }

    /** A world with one thing wrong in it, or none. */
    private static World planted(String fault, long seed) {
        return new World(5, voters(fault), SETTINGS, seed) {
            private int syncs;

            @Override
            protected RaftServer newRaft(long id, RaftSettings of, PersistedState saved, long chance) {
                return plantedServer(fault, id, of, saved, chance);
            }

            @Override
            protected PersistedState persisted(PersistedState synced) {
                return fault.equals("no durable vote")
                        ? new PersistedState(
                                new HardState(synced.hardState().term(), 0), synced.snapshot(), synced.entries())
                        : synced;
            }

            @Override
            protected long idAfterLoss(long lost, long fresh) {
                return fault.equals("a vote after a lost disk") ? lost : fresh;
            }

            @Override
            protected boolean syncs() {
                return !fault.equals("a sync failure swallowed") || ++syncs % 50 != 0;
            }

            @Override
            protected void read(RaftServer raft, long token) {
                if (!fault.equals("a read from a deposed leader")) {
                    raft.read(token);
                } else if (raft.state() == RaftPeerState.LEADER) {
                    answered(token, raft.commitIndex());
                }
            }
        };
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            no durable vote               | ELECTIONS | 1000  | 1000 | has voted for
            a vote after a lost disk      | ALL       | 1000  | 3000 | has voted for
            two changes at once           | ALL       | 200   | 3000 | two changes of members at once
            a read from a deposed leader  | ALL       | 1500  | 3000 | a read at
            a sync failure swallowed      | ALL       | 200   | 3000 | its disk holds
            """)
    void aPlantedFaultIsFound(String fault, Explorer.Mix mix, int seeds, int steps, String as) {
        List<Explorer.Walk> walks = walks(seed -> planted(fault, seed), mix, seeds, steps);
        assertTrue(
                walks.stream().anyMatch(w -> w.violations().stream().anyMatch(f -> f.contains(as))),
                walks.stream()
                        .flatMap(w -> w.violations().stream())
                        .distinct()
                        .limit(20)
                        .toList()
                        .toString());
    }

    private static void all(World world, Step.Kind kind, int... nodes) {
        for (int s : nodes) {
            world.take(new Step(kind, s, 0));
        }
    }

    /** Has one lead, by these others' votes and whatever it takes. */
    private static void elect(World world, int candidate, int... voters) {
        for (int i = 0; i < 12 && world.state(candidate) != RaftPeerState.LEADER; i++) {
            if (i % 3 == 0) {
                // Whoever still hears a leader helps nobody to another.
                all(world, Step.Kind.HASTE, voters);
                world.loseAll();
                all(world, Step.Kind.HASTE, candidate);
            }
            all(world, Step.Kind.SYNC, candidate);
            for (int v : voters) {
                world.pass(Step.Kind.DELIVER, candidate, v, RaftMessage.RequestVote.class, m -> true);
                all(world, Step.Kind.SYNC, v, v);
                world.pass(Step.Kind.DELIVER, v, candidate, RaftMessage.VoteResponse.class, m -> true);
            }
            all(world, Step.Kind.SYNC, candidate);
        }
        assertEquals(RaftPeerState.LEADER, world.state(candidate));
        all(world, Step.Kind.SYNC, candidate, candidate);
    }

    /** The thesis, figure 3.7: an entry of an older term on a majority, and a leader after that has never seen it. */
    @ParameterizedTest
    @CsvSource({"commit of an older term, 1", "commit of an older term with nothing planted, 0"})
    void anOlderTermsEntryIsNotCommittedByCountingItsCopies(String fault, int findings) {
        World world = planted(fault, 1);
        elect(world, 0, 1, 2);
        world.pass(Step.Kind.DELIVER, 0, 1, RaftMessage.AppendEntries.class, m -> true);
        all(world, Step.Kind.SYNC, 1, 0);
        all(world, Step.Kind.AGAIN, 0);
        elect(world, 4, 2, 3);
        all(world, Step.Kind.AGAIN, 4);
        elect(world, 0, 1, 2);
        for (int follower : new int[] {2, 3}) {
            for (int i = 0; i < 2; i++) {
                world.pass(Step.Kind.DELIVER, 0, follower, RaftMessage.AppendEntries.class, m -> m.term() >= 3);
                all(world, Step.Kind.SYNC, follower, follower);
                world.pass(Step.Kind.DELIVER, follower, 0, RaftMessage.AppendResponse.class, m -> m.term() >= 3);
            }
        }
        all(world, Step.Kind.AGAIN, 0);
        elect(world, 4, 2, 3);
        assertEquals(
                findings,
                world.violations().stream()
                        .filter(f -> f.contains("has not what was committed"))
                        .count(),
                world.violations().toString());
        assertTrue(world.counts()[0] >= 3, "leaders: " + world.counts()[0]);
    }

    private static void proposeFourEntries(World world) {
        for (int f = 1; f <= 2; f++) {
            for (int i = 0; i < 3; i++) {
                world.pass(Step.Kind.DELIVER, 0, f, RaftMessage.AppendEntries.class, m -> true);
                all(world, Step.Kind.SYNC, f, f);
                world.pass(Step.Kind.DELIVER, f, 0, RaftMessage.AppendResponse.class, m -> true);
            }
        }
        all(world, Step.Kind.PROPOSE, 0, 0, 0, 0);
        all(world, Step.Kind.SYNC, 0, 0, 0, 0);
    }

    /** The second follower takes all but the last, and the leader compacts what it has applied. */
    private static void replicateAllButTheLastAndCompact(World world) {
        for (int i = 0; i < 3; i++) {
            world.pass(
                    Step.Kind.DELIVER,
                    0,
                    2,
                    RaftMessage.AppendEntries.class,
                    m -> !((RaftMessage.AppendEntries) m).entries().isEmpty());
            all(world, Step.Kind.SYNC, 2);
            world.pass(Step.Kind.DELIVER, 2, 0, RaftMessage.AppendResponse.class, m -> true);
        }
        all(world, Step.Kind.COMPACT, 0);
    }

    /** The first follower gets the third entry before the first, rejects it, and then gets all, up to the fourth, and the snapshot. */
    private static void deliverOutOfOrderWithALateSnapshot(World world) {
        world.take(new Step(Step.Kind.TICK, 2, 0));
        world.pass(
                Step.Kind.TWICE,
                0,
                1,
                RaftMessage.AppendEntries.class,
                m -> ((RaftMessage.AppendEntries) m).prevIndex() == 3);
        for (int prev = 1; prev <= 4; prev++) {
            int at = prev;
            world.pass(
                    Step.Kind.DELIVER,
                    0,
                    1,
                    RaftMessage.AppendEntries.class,
                    m -> ((RaftMessage.AppendEntries) m).prevIndex() == at
                            && !((RaftMessage.AppendEntries) m).entries().isEmpty());
        }
        world.pass(
                Step.Kind.DELIVER,
                1,
                0,
                RaftMessage.AppendResponse.class,
                m -> !((RaftMessage.AppendResponse) m).success());
        world.pass(Step.Kind.DELIVER, 0, 1, RaftMessage.InstallSnapshot.class, m -> true);
        all(world, Step.Kind.SYNC, 1, 1, 1, 1, 1, 1);
        for (int i = 0; i < 6; i++) {
            world.pass(
                    Step.Kind.DELIVER,
                    1,
                    0,
                    RaftMessage.AppendResponse.class,
                    m -> ((RaftMessage.AppendResponse) m).success());
        }
    }

    /** A snapshot that is late: what the follower has beyond it is promised already. */
    @ParameterizedTest
    @CsvSource({"a snapshot over newer entries, 1", "nothing, 0"})
    void aLateSnapshotDoesNotTakeAwayWhatIsNewer(String fault, int findings) {
        World world = planted(fault, 1);
        elect(world, 0, 1, 2);
        proposeFourEntries(world);
        replicateAllButTheLastAndCompact(world);
        deliverOutOfOrderWithALateSnapshot(world);
        assertEquals(5, world.counts()[1], "committed, by the leader and this one");
        all(world, Step.Kind.CRASH, 0);
        elect(world, 1, 2);
        assertEquals(
                findings,
                world.violations().stream()
                        .filter(f -> f.contains("has not what was committed"))
                        .count(),
                world.violations().toString());
    }

    @Test
    void aFailingWalkIsShortenedToAScriptThatPlaysAgain() {
        Explorer explorer = new Explorer(seed -> planted("a read from a deposed leader", seed), Explorer.Mix.ALL);
        Explorer.Walk failing = LongStream.rangeClosed(1, 600)
                .mapToObj(s -> explorer.walk(s, STEPS))
                .filter(w -> !w.violations().isEmpty())
                .findFirst()
                .orElseThrow();
        Explorer.Walk shortened = explorer.shortened(failing);
        assertTrue(
                shortened.steps().size() < failing.steps().size() / 2,
                shortened.steps().size() + " of " + failing.steps().size());
        List<Step> read =
                shortened.steps().stream().map(s -> Step.read(s.toString())).toList();
        assertEquals(shortened.violations(), explorer.play(failing.seed(), read).violations());
    }
}
