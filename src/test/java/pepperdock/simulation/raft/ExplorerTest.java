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

/**
 * Checks that Raft keeps its invariants under crashes, lost disks, cut links and membership changes, and that injected
 * faults violate them.
 */
class ExplorerTest {

    private static final RaftSettings SETTINGS = new RaftSettings(5, 1, 48, 4, 4096, 1);
    private static final int STEPS = 3000;

    private static List<Explorer.Walk> walks(
            LongFunction<SimulatedRaftGroup> groups, Explorer.Mix mix, int seeds, int steps) {
        Explorer explorer = new Explorer(groups, mix);
        return LongStream.rangeClosed(1, seeds)
                .parallel()
                .mapToObj(s -> explorer.walk(s, steps))
                .toList();
    }

    @ParameterizedTest(name = "{0}: {1} processes, {2} of them voters at first")
    @CsvSource({"ALL, 3, 3", "ALL, 5, 3", "ALL, 5, 5", "ALL, 4, 1", "ELECTIONS, 5, 5", "SNAPSHOTS, 3, 3"})
    void invariantsHoldInAllWalks(Explorer.Mix mix, int processes, int voters) {
        List<Explorer.Walk> walks =
                walks(seed -> new SimulatedRaftGroup(processes, voters, SETTINGS, seed), mix, 200, STEPS);
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
                "too few leaders or committed entries to be meaningful (leaders, entries, reads): "
                        + List.of(sums[0], sums[1], sums[2]));
    }

    private static int voters(String fault) {
        return fault.startsWith("commit of an older term") ? 5 : 3;
    }

    private static RaftServer serverWithFault(
            String fault, long id, RaftSettings settings, PersistedState saved, long seed) {
        return new RaftServer(id, settings, saved, seed) {
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

    /** Returns a group with that injected fault, or with none if the name is unknown. */
    private static SimulatedRaftGroup groupWithFault(String fault, long seed) {
        return new SimulatedRaftGroup(5, voters(fault), SETTINGS, seed) {
            private int syncs;

            @Override
            protected RaftServer newRaft(long id, RaftSettings of, PersistedState saved, long seed) {
                return serverWithFault(fault, id, of, saved, seed);
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
                    checkRead(token, raft.commitIndex());
                }
            }
        };
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            no durable vote               | ELECTIONS | 1000  | 1000 | has voted for
            a vote after a lost disk      | ALL       | 1000  | 3000 | has voted for
            two changes at once           | ALL       | 200   | 3000 | two membership changes at once
            a read from a deposed leader  | ALL       | 1500  | 3000 | a read was answered at index
            a sync failure swallowed      | ALL       | 200   | 3000 | its disk holds
            """)
    void injectedFaultIsDetected(String fault, Explorer.Mix mix, int seeds, int steps, String message) {
        List<Explorer.Walk> walks = walks(seed -> groupWithFault(fault, seed), mix, seeds, steps);
        assertTrue(
                walks.stream().anyMatch(w -> w.violations().stream().anyMatch(f -> f.contains(message))),
                walks.stream()
                        .flatMap(w -> w.violations().stream())
                        .distinct()
                        .limit(20)
                        .toList()
                        .toString());
    }

    private static void takeOnEach(SimulatedRaftGroup group, Step.Kind kind, int... nodes) {
        for (int s : nodes) {
            group.take(new Step(kind, s, 0));
        }
    }

    /** Makes the candidate leader, elected by the votes of the given nodes. */
    private static void elect(SimulatedRaftGroup group, int candidate, int... voters) {
        for (int i = 0; i < 12 && group.state(candidate) != RaftPeerState.LEADER; i++) {
            if (i % 3 == 0) {
                // A voter that still hears from a leader rejects other candidates, so its election timeout must expire.
                takeOnEach(group, Step.Kind.HASTE, voters);
                group.dropAllMessages();
                takeOnEach(group, Step.Kind.HASTE, candidate);
            }
            takeOnEach(group, Step.Kind.SYNC, candidate);
            for (int v : voters) {
                group.deliver(Step.Kind.DELIVER, candidate, v, RaftMessage.RequestVote.class, m -> true);
                takeOnEach(group, Step.Kind.SYNC, v, v);
                group.deliver(Step.Kind.DELIVER, v, candidate, RaftMessage.VoteResponse.class, m -> true);
            }
            takeOnEach(group, Step.Kind.SYNC, candidate);
        }
        assertEquals(RaftPeerState.LEADER, group.state(candidate));
        takeOnEach(group, Step.Kind.SYNC, candidate, candidate);
    }

    /**
     * Raft thesis, figure 3.7: a majority holds an entry of an older term, and a later leader has never received it.
     */
    @ParameterizedTest
    @CsvSource({"commit of an older term, 1", "commit of an older term without a fault, 0"})
    void entryOfOlderTermIsNotCommittedByCountingReplicas(String fault, int findings) {
        SimulatedRaftGroup group = groupWithFault(fault, 1);
        elect(group, 0, 1, 2);
        group.deliver(Step.Kind.DELIVER, 0, 1, RaftMessage.AppendEntries.class, m -> true);
        takeOnEach(group, Step.Kind.SYNC, 1, 0);
        takeOnEach(group, Step.Kind.AGAIN, 0);
        elect(group, 4, 2, 3);
        takeOnEach(group, Step.Kind.AGAIN, 4);
        elect(group, 0, 1, 2);
        for (int follower : new int[] {2, 3}) {
            for (int i = 0; i < 2; i++) {
                group.deliver(Step.Kind.DELIVER, 0, follower, RaftMessage.AppendEntries.class, m -> m.term() >= 3);
                takeOnEach(group, Step.Kind.SYNC, follower, follower);
                group.deliver(Step.Kind.DELIVER, follower, 0, RaftMessage.AppendResponse.class, m -> m.term() >= 3);
            }
        }
        takeOnEach(group, Step.Kind.AGAIN, 0);
        elect(group, 4, 2, 3);
        assertEquals(
                findings,
                group.violations().stream()
                        .filter(f -> f.contains("lacks the committed entry"))
                        .count(),
                group.violations().toString());
        assertTrue(group.counts()[0] >= 3, "leaders: " + group.counts()[0]);
    }

    private static void proposeFourEntries(SimulatedRaftGroup group) {
        for (int f = 1; f <= 2; f++) {
            for (int i = 0; i < 3; i++) {
                group.deliver(Step.Kind.DELIVER, 0, f, RaftMessage.AppendEntries.class, m -> true);
                takeOnEach(group, Step.Kind.SYNC, f, f);
                group.deliver(Step.Kind.DELIVER, f, 0, RaftMessage.AppendResponse.class, m -> true);
            }
        }
        takeOnEach(group, Step.Kind.PROPOSE, 0, 0, 0, 0);
        takeOnEach(group, Step.Kind.SYNC, 0, 0, 0, 0);
    }

    /**
     * Replicates all entries but the last to the second follower, and compacts the entries that the leader has applied.
     */
    private static void replicateAllButTheLastAndCompact(SimulatedRaftGroup group) {
        for (int i = 0; i < 3; i++) {
            group.deliver(
                    Step.Kind.DELIVER,
                    0,
                    2,
                    RaftMessage.AppendEntries.class,
                    m -> !((RaftMessage.AppendEntries) m).entries().isEmpty());
            takeOnEach(group, Step.Kind.SYNC, 2);
            group.deliver(Step.Kind.DELIVER, 2, 0, RaftMessage.AppendResponse.class, m -> true);
        }
        takeOnEach(group, Step.Kind.COMPACT, 0);
    }

    /**
     * Delivers the third entry to the first follower before the first, which it rejects, then all entries up to the
     * fourth, and the snapshot.
     */
    private static void deliverOutOfOrderWithALateSnapshot(SimulatedRaftGroup group) {
        group.take(new Step(Step.Kind.TICK, 2, 0));
        group.deliver(
                Step.Kind.TWICE,
                0,
                1,
                RaftMessage.AppendEntries.class,
                m -> ((RaftMessage.AppendEntries) m).prevIndex() == 3);
        for (int prev = 1; prev <= 4; prev++) {
            int at = prev;
            group.deliver(
                    Step.Kind.DELIVER,
                    0,
                    1,
                    RaftMessage.AppendEntries.class,
                    m -> ((RaftMessage.AppendEntries) m).prevIndex() == at
                            && !((RaftMessage.AppendEntries) m).entries().isEmpty());
        }
        group.deliver(
                Step.Kind.DELIVER,
                1,
                0,
                RaftMessage.AppendResponse.class,
                m -> !((RaftMessage.AppendResponse) m).success());
        group.deliver(Step.Kind.DELIVER, 0, 1, RaftMessage.InstallSnapshot.class, m -> true);
        takeOnEach(group, Step.Kind.SYNC, 1, 1, 1, 1, 1, 1);
        for (int i = 0; i < 6; i++) {
            group.deliver(
                    Step.Kind.DELIVER,
                    1,
                    0,
                    RaftMessage.AppendResponse.class,
                    m -> ((RaftMessage.AppendResponse) m).success());
        }
    }

    /** A snapshot arrives late: the follower has already acknowledged entries after it, and must keep them. */
    @ParameterizedTest
    @CsvSource({"a snapshot over newer entries, 1", "nothing, 0"})
    void lateSnapshotDoesNotRemoveNewerEntries(String fault, int findings) {
        SimulatedRaftGroup group = groupWithFault(fault, 1);
        elect(group, 0, 1, 2);
        proposeFourEntries(group);
        replicateAllButTheLastAndCompact(group);
        deliverOutOfOrderWithALateSnapshot(group);
        assertEquals(5, group.counts()[1], "entries committed by the leader and this follower");
        takeOnEach(group, Step.Kind.CRASH, 0);
        elect(group, 1, 2);
        assertEquals(
                findings,
                group.violations().stream()
                        .filter(f -> f.contains("lacks the committed entry"))
                        .count(),
                group.violations().toString());
    }

    @Test
    void failingWalkIsShortenedToAScriptThatReproducesIt() {
        Explorer explorer =
                new Explorer(seed -> groupWithFault("a read from a deposed leader", seed), Explorer.Mix.ALL);
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
