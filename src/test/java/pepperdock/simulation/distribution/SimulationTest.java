package pepperdock.simulation.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import pepperdock.distribution.ConfigurationAge;
import pepperdock.distribution.ConfigurationDigest;
import pepperdock.distribution.ConfigurationSnapshot;
import pepperdock.distribution.ConfigurationValidator;
import pepperdock.distribution.ConfigurationVersion;
import pepperdock.distribution.ControlMachine;
import pepperdock.distribution.Delta;
import pepperdock.distribution.Publisher;
import pepperdock.distribution.PublisherOutput;
import pepperdock.distribution.PublisherSettings;
import pepperdock.distribution.Subscriber;
import pepperdock.distribution.SubscriberIdentity;
import pepperdock.distribution.SubscriberOutput;
import pepperdock.distribution.SubscriberSettings;
import pepperdock.distribution.VersionSource;
import pepperdock.distribution.VersionStore;
import pepperdock.simulation.distribution.Finding.Promise;

/** Runs all hard cases with 50 gatherers, and checks that each invariant detects an injected fault. */
class SimulationTest {

    private static final int GATHERERS = 50;
    private static final int SEEDS = 2;

    @ParameterizedTest
    @EnumSource(HardCase.class)
    void everyPromiseHoldsInEachHardCase(HardCase hardCase) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            Result result = new Simulation(Setup.of(hardCase, GATHERERS, seed)).run();
            assertEquals(List.of(), result.findings(), hardCase + ", seed " + seed);
            assertTrue(
                    result.figures().changes() >= 10,
                    hardCase + ": " + result.figures().changes());
        }
    }

    @Test
    void everyPromiseHoldsUnderThreeHardCasesAtOnce() {
        for (long seed = 100; seed < 110; seed++) {
            Result result = new Simulation(Setup.of(HardCase.MIXED, GATHERERS, seed)).run();
            assertEquals(List.of(), result.findings(), "seed " + seed);
        }
    }

    @Test
    void subscribersDeferredBySnapshotLimitHaveTheNewestVersionAtTheEnd() {
        PublisherSettings fourAtOnce = settings(10_000, 4000, 4);
        int[] maxSnapshots = new int[1];
        SimulationWithFault simulation = new SimulationWithFault(HardCase.ALL_NEW, 1) {
            @Override
            protected Publisher newPublisher(
                    PublisherSettings settings, VersionSource source, PublisherOutput output, long seed, long now) {
                return new Publisher(fourAtOnce, source, output, seed, now);
            }
        };
        simulation
                .time()
                .every(
                        100,
                        0,
                        () -> simulation
                                .group()
                                .nodes()
                                .forEach(n -> maxSnapshots[0] =
                                        Math.max(maxSnapshots[0], n.publisher().snapshotsUnderWay())));
        Set<Promise> found = simulation.violations();
        assertEquals(4, maxSnapshots[0]);
        assertTrue(Set.of(Promise.WITHIN_TIME).containsAll(found), "unexpected findings besides WITHIN_TIME: " + found);
    }

    private static PublisherSettings settings(int subscriberRate, int subscriberBurst, int snapshotsAtOnce) {
        PublisherSettings d = PublisherSettings.defaults();
        return new PublisherSettings(
                d.heartbeatMillis(),
                d.silenceMillis(),
                d.answerMillis(),
                subscriberRate,
                subscriberBurst,
                d.snapshotBytesPerSecond(),
                d.snapshotBurstBytes(),
                snapshotsAtOnce,
                d.chunkBytes(),
                d.deltaPercent(),
                d.keptVersions(),
                d.keptBytes());
    }

    @Test
    void sameSetupGivesSameHistoryAndAnotherSeedAnother() {
        List<List<Event>> histories = new ArrayList<>();
        for (long seed : new long[] {1, 1, 2}) {
            Simulation simulation = new Simulation(Setup.of(HardCase.LEADER_LOST, 9, seed));
            simulation.run();
            histories.add(List.copyOf(simulation.history().events()));
        }
        assertEquals(histories.get(0), histories.get(1));
        assertNotEquals(histories.get(0), histories.get(2));
    }

    @Test
    void controlMachineListsSubscribersThatCannotReadAFormat() {
        Simulation simulation = new Simulation(Setup.of(HardCase.UNREADABLE, GATHERERS, 1));
        List<String> refused = new ArrayList<>();
        simulation
                .time()
                .at(
                        FaultSchedule.BEGIN + 29_000,
                        () -> simulation
                                .group()
                                .nodes()
                                .forEach(n -> n.publisher().subscribers(simulation.now()).stream()
                                        .filter(s -> s.refusal().isPresent() && !s.lagging())
                                        .forEach(s -> refused.add(s.id().name()))));
        simulation.run();
        Set<String> oldReaders = simulation.gatherers().stream()
                .filter(g -> g.maxFormat() < Simulation.SECOND_FORMAT)
                .map(g -> g.place().name())
                .collect(Collectors.toSet());
        assertEquals(10, oldReaders.size());
        assertEquals(oldReaders, Set.copyOf(refused));
    }

    // ---- Injected faults ------------------------------------------------------------

    private static class SimulationWithFault extends Simulation {

        SimulationWithFault(HardCase hardCase, long seed) {
            super(Setup.of(hardCase, GATHERERS, seed));
        }

        Set<Promise> violations() {
            return run().findings().stream().map(Finding::promise).collect(Collectors.toSet());
        }
    }

    /** A subscriber with the rules of the real one; subclasses break one of them. */
    private static class FaultySubscriber extends Subscriber {

        private static final ConfigurationValidator ACCEPT_ALL = configuration -> java.util.Optional.empty();

        FaultySubscriber(
                SubscriberIdentity self,
                List<ControlMachine> known,
                SubscriberSettings settings,
                VersionStore store,
                SubscriberOutput output,
                long seed,
                long now) {
            super(self, known, settings, store, ACCEPT_ALL, output, seed, now);
        }
    }

    /** A publisher that offers its version to every subscriber, also when that version is older than theirs. */
    private static final class PublisherOfAnyVersion extends Publisher {

        PublisherOfAnyVersion(
                PublisherSettings settings, VersionSource source, PublisherOutput output, long seed, long now) {
            super(settings, source, output, seed, now);
        }

        @Override
        protected boolean mayOffer(ConfigurationVersion latestHere, ConfigurationVersion inForceThere) {
            return !latestHere.equals(inForceThere);
        }
    }

    private static class OldVersionsOffered extends SimulationWithFault {

        OldVersionsOffered(HardCase hardCase, long seed) {
            super(hardCase, seed);
        }

        @Override
        protected Publisher newPublisher(
                PublisherSettings settings, VersionSource source, PublisherOutput output, long seed, long now) {
            return new PublisherOfAnyVersion(settings, source, output, seed, now);
        }
    }

    @Test
    void offeredOldVersionsAreNotAccepted() {
        assertFalse(new OldVersionsOffered(HardCase.OLD_DISK, 1).violations().contains(Promise.NEVER_BACKWARDS));
    }

    @Test
    void subscriberAcceptingOldVersionsIsDetected() {
        SimulationWithFault simulation = new OldVersionsOffered(HardCase.OLD_DISK, 1) {
            @Override
            protected Subscriber newSubscriber(
                    SubscriberIdentity self,
                    List<ControlMachine> known,
                    SubscriberSettings settings,
                    VersionStore store,
                    SubscriberOutput output,
                    long seed,
                    long now) {
                return new FaultySubscriber(self, known, settings, store, output, seed, now) {
                    @Override
                    protected boolean mayFollow(ConfigurationVersion next) {
                        return !next.equals(inForce().version());
                    }
                };
            }
        };
        assertTrue(simulation.violations().contains(Promise.NEVER_BACKWARDS));
    }

    private static ConfigurationSnapshot withoutLastChange(ConfigurationSnapshot base, Delta delta) {
        return base.with(
                delta.result(),
                delta.format(),
                delta.changes().subList(0, delta.changes().size() - 1));
    }

    @Test
    void partlyAppliedDeltaIsReplacedBySnapshotAndNotInForce() {
        SimulationWithFault simulation = new SimulationWithFault(HardCase.CALM, 1) {
            @Override
            protected Subscriber newSubscriber(
                    SubscriberIdentity self,
                    List<ControlMachine> known,
                    SubscriberSettings settings,
                    VersionStore store,
                    SubscriberOutput output,
                    long seed,
                    long now) {
                return new FaultySubscriber(self, known, settings, store, output, seed, now) {
                    @Override
                    protected ConfigurationSnapshot applied(ConfigurationSnapshot base, Delta delta) {
                        return withoutLastChange(base, delta);
                    }
                };
            }
        };
        Set<Promise> found = simulation.violations();
        assertFalse(found.contains(Promise.NEVER_HALF), found.toString());
        assertFalse(found.contains(Promise.ALL_LEVEL), found.toString());
    }

    @Test
    void partlyAppliedDeltaInForceIsDetected() {
        SimulationWithFault simulation = new SimulationWithFault(HardCase.CALM, 1) {
            @Override
            protected Subscriber newSubscriber(
                    SubscriberIdentity self,
                    List<ControlMachine> known,
                    SubscriberSettings settings,
                    VersionStore store,
                    SubscriberOutput output,
                    long seed,
                    long now) {
                return new FaultySubscriber(self, known, settings, store, output, seed, now) {
                    @Override
                    protected ConfigurationSnapshot applied(ConfigurationSnapshot base, Delta delta) {
                        return withoutLastChange(base, delta);
                    }

                    @Override
                    protected boolean intact(ConfigurationSnapshot result, ConfigurationDigest settled) {
                        return true;
                    }
                };
            }
        };
        assertTrue(simulation.violations().contains(Promise.NEVER_HALF));
    }

    @Test
    void subscriberRejectingSecondVersionIsDetected() {
        SimulationWithFault simulation = new SimulationWithFault(HardCase.CALM, 1) {
            @Override
            protected Subscriber newSubscriber(
                    SubscriberIdentity self,
                    List<ControlMachine> known,
                    SubscriberSettings settings,
                    VersionStore store,
                    SubscriberOutput output,
                    long seed,
                    long now) {
                return new FaultySubscriber(self, known, settings, store, output, seed, now) {
                    @Override
                    protected boolean mayFollow(ConfigurationVersion next) {
                        return inForce().version().equals(ConfigurationVersion.NONE) && super.mayFollow(next);
                    }
                };
            }
        };
        assertTrue(simulation.violations().contains(Promise.ALL_LEVEL));
    }

    @Test
    void subscriberStayingWithSilentControlMachineIsDetected() {
        SimulationWithFault simulation = new SimulationWithFault(HardCase.MACHINE_PASSES_NOTHING, 1) {
            @Override
            protected Subscriber newSubscriber(
                    SubscriberIdentity self,
                    List<ControlMachine> known,
                    SubscriberSettings settings,
                    VersionStore store,
                    SubscriberOutput output,
                    long seed,
                    long now) {
                return new FaultySubscriber(self, known, settings, store, output, seed, now) {
                    @Override
                    protected boolean tooSilent(long silentMillis) {
                        return false;
                    }

                    @Override
                    protected boolean tooLongUnconfirmed(long unconfirmedMillis) {
                        return false;
                    }
                };
            }
        };
        assertTrue(simulation.violations().contains(Promise.WITHIN_TIME));
    }

    @Test
    void changesAcknowledgedBeforeSettledAreDetected() {
        boolean found = false;
        for (long seed = 1; seed <= 10 && !found; seed++) {
            SimulationWithFault simulation = new SimulationWithFault(HardCase.REGION_CUT, seed) {
                @Override
                protected boolean acknowledgesBeforeSettled() {
                    return true;
                }
            };
            found = simulation.violations().contains(Promise.NOTHING_ACKNOWLEDGED_LOST);
        }
        assertTrue(found);
    }

    @Test
    void diskThatReportsUnsavedVersionAsSavedIsDetected() {
        SimulationWithFault simulation = new SimulationWithFault(HardCase.ALL_RESTART, 1) {
            @Override
            protected GathererDisk newDisk() {
                return new GathererDisk() {
                    @Override
                    public boolean save(ConfigurationSnapshot configuration) {
                        return true;
                    }
                };
            }
        };
        assertTrue(simulation.violations().contains(Promise.NOTHING_ACKNOWLEDGED_LOST));
    }

    @Test
    void wrongAgeIsDetected() {
        SimulationWithFault simulation = new SimulationWithFault(HardCase.REGION_CUT, 1) {
            @Override
            protected Subscriber newSubscriber(
                    SubscriberIdentity self,
                    List<ControlMachine> known,
                    SubscriberSettings settings,
                    VersionStore store,
                    SubscriberOutput output,
                    long seed,
                    long now) {
                return new FaultySubscriber(self, known, settings, store, output, seed, now) {
                    @Override
                    public ConfigurationAge age(long at) {
                        return new ConfigurationAge(0, false);
                    }
                };
            }
        };
        assertTrue(simulation.violations().contains(Promise.AGE_TOLD));
    }

    @Test
    void publisherSendingUnpacedSnapshotIsDetected() {
        PublisherSettings unpaced = settings(1_000_000, 1_000_000, 192);
        SimulationWithFault simulation = new SimulationWithFault(HardCase.CALM, 1) {
            @Override
            protected Publisher newPublisher(
                    PublisherSettings settings, VersionSource source, PublisherOutput output, long seed, long now) {
                return new Publisher(unpaced, source, output, seed, now);
            }
        };
        assertTrue(simulation.violations().contains(Promise.WITHIN_BUDGET));
    }
}
