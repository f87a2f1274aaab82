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

/** The short form: all hard cases at 50 gatherers, and each check with a planted fault that it has to find. */
class SimulationTest {

    private static final int GATHERERS = 50;
    private static final int SEEDS = 2;

    @ParameterizedTest
    @EnumSource(HardCase.class)
    void everyPromiseHoldsInEveryHardCase(HardCase hardCase) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            Result result = new Simulation(Setup.of(hardCase, GATHERERS, seed)).run();
            assertEquals(List.of(), result.findings(), hardCase + ", seed " + seed);
            assertTrue(
                    result.figures().changes() >= 10,
                    hardCase + ": " + result.figures().changes());
        }
    }

    @Test
    void everyPromiseHoldsUnderThreeHardCasesAtATime() {
        for (long seed = 100; seed < 110; seed++) {
            Result result = new Simulation(Setup.of(HardCase.MIXED, GATHERERS, seed)).run();
            assertEquals(List.of(), result.findings(), "seed " + seed);
        }
    }

    @Test
    void whoIsToldToAskAgainLaterIsLevelAtTheEnd() {
        PublisherSettings fourAtOnce = settings(10_000, 4000, 4);
        int[] most = new int[1];
        Planted planted = new Planted(HardCase.ALL_NEW, 1) {
            @Override
            protected Publisher newPublisher(
                    PublisherSettings settings, VersionSource source, PublisherOutput output, long seed, long now) {
                return new Publisher(fourAtOnce, source, output, seed, now);
            }
        };
        planted.time()
                .every(
                        100,
                        0,
                        () -> planted.group()
                                .nodes()
                                .forEach(n -> most[0] =
                                        Math.max(most[0], n.publisher().snapshotsUnderWay())));
        Set<Promise> found = planted.found();
        assertEquals(4, most[0]);
        assertTrue(Set.of(Promise.WITHIN_TIME).containsAll(found), "late, and nothing else: " + found);
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
    void theSameSetupGivesTheSameCourseAndAnotherSeedAnother() {
        List<List<Event>> histories = new ArrayList<>();
        for (long seed : new long[] {1, 1, 2}) {
            Simulation world = new Simulation(Setup.of(HardCase.LEADER_LOST, 9, seed));
            world.run();
            histories.add(List.copyOf(world.history().events()));
        }
        assertEquals(histories.get(0), histories.get(1));
        assertNotEquals(histories.get(0), histories.get(2));
    }

    @Test
    void whoCanNotReadAFormatIsKnownByNameAtItsControlMachine() {
        Simulation world = new Simulation(Setup.of(HardCase.UNREADABLE, GATHERERS, 1));
        List<String> refused = new ArrayList<>();
        world.time()
                .at(
                        FaultSchedule.BEGIN + 29_000,
                        () -> world.group()
                                .nodes()
                                .forEach(n -> n.publisher().subscribers(world.now()).stream()
                                        .filter(s -> s.refusal().isPresent() && !s.lagging())
                                        .forEach(s -> refused.add(s.id().name()))));
        world.run();
        Set<String> oldReaders = world.gatherers().stream()
                .filter(g -> g.reads() < Simulation.FORMAT_SECOND)
                .map(g -> g.place().name())
                .collect(Collectors.toSet());
        assertEquals(10, oldReaders.size());
        assertEquals(oldReaders, Set.copyOf(refused));
    }

    // ---- Planted faults ------------------------------------------------------------

    private static class Planted extends Simulation {

        Planted(HardCase hardCase, long seed) {
            super(Setup.of(hardCase, GATHERERS, seed));
        }

        Set<Promise> found() {
            return run().findings().stream().map(Finding::promise).collect(Collectors.toSet());
        }
    }

    /** A subscriber with the rules of the real one, for those that break one of them. */
    private static class Faulty extends Subscriber {

        private static final ConfigurationValidator NO_COMPLAINT = configuration -> java.util.Optional.empty();

        Faulty(
                SubscriberIdentity self,
                List<ControlMachine> known,
                SubscriberSettings settings,
                VersionStore store,
                SubscriberOutput output,
                long seed,
                long now) {
            super(self, known, settings, store, NO_COMPLAINT, output, seed, now);
        }
    }

    /** The publisher with the old disk offers what it has to everyone. */
    private static final class OfferingAnything extends Publisher {

        OfferingAnything(
                PublisherSettings settings, VersionSource source, PublisherOutput output, long seed, long now) {
            super(settings, source, output, seed, now);
        }

        @Override
        protected boolean mayOffer(ConfigurationVersion latestHere, ConfigurationVersion inForceThere) {
            return !latestHere.equals(inForceThere);
        }
    }

    private static class OfferingOldVersions extends Planted {

        OfferingOldVersions(HardCase hardCase, long seed) {
            super(hardCase, seed);
        }

        @Override
        protected Publisher newPublisher(
                PublisherSettings settings, VersionSource source, PublisherOutput output, long seed, long now) {
            return new OfferingAnything(settings, source, output, seed, now);
        }
    }

    @Test
    void oldVersionsThatAreOfferedAreNotTaken() {
        assertFalse(new OfferingOldVersions(HardCase.OLD_DISK, 1).found().contains(Promise.NEVER_BACKWARDS));
    }

    @Test
    void aSubscriberThatTakesOldVersionsIsFound() {
        Planted planted = new OfferingOldVersions(HardCase.OLD_DISK, 1) {
            @Override
            protected Subscriber newSubscriber(
                    SubscriberIdentity self,
                    List<ControlMachine> known,
                    SubscriberSettings settings,
                    VersionStore store,
                    SubscriberOutput output,
                    long seed,
                    long now) {
                return new Faulty(self, known, settings, store, output, seed, now) {
                    @Override
                    protected boolean mayFollow(ConfigurationVersion next) {
                        return !next.equals(inForce().version());
                    }
                };
            }
        };
        assertTrue(planted.found().contains(Promise.NEVER_BACKWARDS));
    }

    private static ConfigurationSnapshot withoutLastChange(ConfigurationSnapshot base, Delta delta) {
        return base.with(
                delta.result(),
                delta.format(),
                delta.changes().subList(0, delta.changes().size() - 1));
    }

    @Test
    void aDeltaThatIsAppliedInPartIsMendedByASnapshotAndNotInForce() {
        Planted planted = new Planted(HardCase.CALM, 1) {
            @Override
            protected Subscriber newSubscriber(
                    SubscriberIdentity self,
                    List<ControlMachine> known,
                    SubscriberSettings settings,
                    VersionStore store,
                    SubscriberOutput output,
                    long seed,
                    long now) {
                return new Faulty(self, known, settings, store, output, seed, now) {
                    @Override
                    protected ConfigurationSnapshot applied(ConfigurationSnapshot base, Delta delta) {
                        return withoutLastChange(base, delta);
                    }
                };
            }
        };
        Set<Promise> found = planted.found();
        assertFalse(found.contains(Promise.NEVER_HALF), found.toString());
        assertFalse(found.contains(Promise.ALL_LEVEL), found.toString());
    }

    @Test
    void aDeltaThatIsInForceInPartIsFound() {
        Planted planted = new Planted(HardCase.CALM, 1) {
            @Override
            protected Subscriber newSubscriber(
                    SubscriberIdentity self,
                    List<ControlMachine> known,
                    SubscriberSettings settings,
                    VersionStore store,
                    SubscriberOutput output,
                    long seed,
                    long now) {
                return new Faulty(self, known, settings, store, output, seed, now) {
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
        assertTrue(planted.found().contains(Promise.NEVER_HALF));
    }

    @Test
    void aSubscriberThatTakesNoSecondVersionIsFound() {
        Planted planted = new Planted(HardCase.CALM, 1) {
            @Override
            protected Subscriber newSubscriber(
                    SubscriberIdentity self,
                    List<ControlMachine> known,
                    SubscriberSettings settings,
                    VersionStore store,
                    SubscriberOutput output,
                    long seed,
                    long now) {
                return new Faulty(self, known, settings, store, output, seed, now) {
                    @Override
                    protected boolean mayFollow(ConfigurationVersion next) {
                        return inForce().version().equals(ConfigurationVersion.NONE) && super.mayFollow(next);
                    }
                };
            }
        };
        assertTrue(planted.found().contains(Promise.ALL_LEVEL));
    }

    @Test
    void aSubscriberThatStaysWithASilentControlMachineIsFound() {
        Planted planted = new Planted(HardCase.MACHINE_PASSES_NOTHING, 1) {
            @Override
            protected Subscriber newSubscriber(
                    SubscriberIdentity self,
                    List<ControlMachine> known,
                    SubscriberSettings settings,
                    VersionStore store,
                    SubscriberOutput output,
                    long seed,
                    long now) {
                return new Faulty(self, known, settings, store, output, seed, now) {
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
        assertTrue(planted.found().contains(Promise.WITHIN_TIME));
    }

    @Test
    void changesThatAreAcknowledgedBeforeTheyAreSettledAreFound() {
        boolean found = false;
        for (long seed = 1; seed <= 10 && !found; seed++) {
            Planted planted = new Planted(HardCase.REGION_CUT, seed) {
                @Override
                protected boolean acknowledgesBeforeSettled() {
                    return true;
                }
            };
            found = planted.found().contains(Promise.NOTHING_ACKNOWLEDGED_LOST);
        }
        assertTrue(found);
    }

    @Test
    void aDiskThatSaysThatItHasSavedAndHasNotIsFound() {
        Planted planted = new Planted(HardCase.ALL_RESTART, 1) {
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
        assertTrue(planted.found().contains(Promise.NOTHING_ACKNOWLEDGED_LOST));
    }

    @Test
    void anAgeThatIsNotTheRealOneIsFound() {
        Planted planted = new Planted(HardCase.REGION_CUT, 1) {
            @Override
            protected Subscriber newSubscriber(
                    SubscriberIdentity self,
                    List<ControlMachine> known,
                    SubscriberSettings settings,
                    VersionStore store,
                    SubscriberOutput output,
                    long seed,
                    long now) {
                return new Faulty(self, known, settings, store, output, seed, now) {
                    @Override
                    public ConfigurationAge age(long at) {
                        return new ConfigurationAge(0, false);
                    }
                };
            }
        };
        assertTrue(planted.found().contains(Promise.AGE_TOLD));
    }

    @Test
    void aPublisherThatSendsASnapshotAtOnceIsFound() {
        PublisherSettings unpaced = settings(1_000_000, 1_000_000, 192);
        Planted planted = new Planted(HardCase.CALM, 1) {
            @Override
            protected Publisher newPublisher(
                    PublisherSettings settings, VersionSource source, PublisherOutput output, long seed, long now) {
                return new Publisher(unpaced, source, output, seed, now);
            }
        };
        assertTrue(planted.found().contains(Promise.WITHIN_BUDGET));
    }
}
