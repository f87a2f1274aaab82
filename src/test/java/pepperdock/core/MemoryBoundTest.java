package pepperdock.core;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import pepperdock.scheduler.AttemptOutcome;
import pepperdock.scheduler.EndpointListKind;
import pepperdock.scheduler.EndpointState;
import pepperdock.scheduler.Scheduler;
import pepperdock.scheduler.SchedulerSettings;

/**
 * Checks that memory stays bounded over a long day: the core and the scheduler retain nothing of queries, parts and
 * attempts that have ended and of workers that have left. All their maps and collections are searched by reflection, so
 * that those added later are covered; those that may hold entries without a query in flight are listed with their
 * sizes.
 */
class MemoryBoundTest {

    private static final int WORKERS = 4;
    /**
     * Sizes without a query in flight: the endpoint list, the classes, and the scheduler's records of workers, cells
     * and zones.
     */
    private static final Map<String, Integer> SIZES_AT_REST = Map.of(
            "core.KnownEndpoints.listedEndpoints", WORKERS,
            "core.Metrics.endedByClass", 3,
            "scheduler.EndpointRegistry.endpoints", WORKERS,
            "scheduler.EndpointRegistry.usableByCell", WORKERS,
            "scheduler.OutlierDetector.zones", 1);

    /** Minimum numbers of maps and collections to be found; fewer would mean that the search has missed some. */
    private static final int MIN_CORE_COLLECTIONS = 10;

    private static final int MIN_SCHEDULER_COLLECTIONS = 8;

    private final GathererFixture fixture = new GathererFixture();
    private final SplittableRandom random = new SplittableRandom(11);
    private int submitted;
    private int replaced;

    private Query submit() {
        int queryClass = random.nextInt(3);
        int parts = queryClass == 0 ? 12 : queryClass == 1 ? 4 : 1;
        return fixture.gatherer.submit(
                new QueryRequest(
                        "q" + submitted++,
                        queryClass,
                        queryClass == 2 ? "k" + submitted : "",
                        3,
                        IntStream.range(0, parts)
                                .mapToObj(shard -> new QueryRequest.RequestedPart(shard, 1.0 / parts))
                                .toList(),
                        new byte[0],
                        null),
                fixture);
    }

    /** Replaces a worker by one with a new id, as a release does. */
    private void replaceWorker() {
        int cell = replaced % WORKERS;
        String oldId = replaced < WORKERS ? "w" + cell : "n" + (replaced - WORKERS);
        fixture.gatherer.onEndpointList(
                EndpointListKind.CHANGES,
                List.of(
                        new WorkerEndpoint(oldId, "127.0.0.1:1", 0, 0, cell, EndpointState.REMOVED, 1, 0),
                        new WorkerEndpoint(
                                "n" + replaced++,
                                "127.0.0.1:1",
                                0,
                                0,
                                cell,
                                EndpointState.HEALTHY,
                                1,
                                fixture.clock.now())));
    }

    private void runDay(int queries) {
        AttemptOutcome[] outcomes = {
            AttemptOutcome.OK,
            AttemptOutcome.OK,
            AttemptOutcome.OK,
            AttemptOutcome.ERROR,
            AttemptOutcome.OVERLOADED,
            AttemptOutcome.RESET,
            AttemptOutcome.CONNECT_FAILED
        };
        for (int i = 0; i < queries; i++) {
            Query query = submit();
            fixture.clock.advance(0.05 + 0.3 * random.nextDouble());
            for (Attempt attempt : fixture.attemptsInFlight()) {
                if (random.nextInt(10) > 0) {
                    fixture.endAttempt(attempt, outcomes[random.nextInt(outcomes.length)]);
                }
            }
            if (random.nextInt(10) == 0) {
                fixture.gatherer.onClientGone(query);
            }
            if (i % 20 == 0) {
                replaceWorker();
            }
            fixture.calls.clear();
        }
        fixture.clock.advance(3600);
        // A worker that left with attempts in flight is removed with the next list.
        fixture.gatherer.onEndpointList(EndpointListKind.CHANGES, List.of());
        fixture.clock.advance(60);
    }

    private static Object value(Field field, Object owner) {
        return assertDoesNotThrow(() -> {
            field.setAccessible(true);
            return field.get(owner);
        });
    }

    private static Map<String, Integer> sizes(Object owner) {
        Map<String, Integer> sizes = new TreeMap<>();
        for (Field field : owner.getClass().getDeclaredFields()) {
            Object fieldValue = Modifier.isStatic(field.getModifiers()) ? null : value(field, owner);
            if (fieldValue instanceof Map<?, ?> map) {
                sizes.put(field.getName(), map.size());
            } else if (fieldValue instanceof Collection<?> collection) {
                sizes.put(field.getName(), collection.size());
            }
        }
        return sizes;
    }

    /**
     * Returns the objects of the core and of the scheduler that make up the gatherer. Leaves out the clock and the
     * backend, which belong to the fixture, and the settings, which are immutable.
     */
    private Set<Object> components() {
        Set<Object> found = Collections.newSetFromMap(new IdentityHashMap<>());
        addComponents(fixture.gatherer, found);
        return found;
    }

    private void addComponents(Object owner, Set<Object> found) {
        if (owner == fixture || owner == fixture.clock || owner instanceof SchedulerSettings || !found.add(owner)) {
            return;
        }
        for (Field field : owner.getClass().getDeclaredFields()) {
            Object component = Modifier.isStatic(field.getModifiers()) ? null : value(field, owner);
            if (component != null && isSearched(component.getClass())) {
                addComponents(component, found);
            }
        }
    }

    private static boolean isSearched(Class<?> type) {
        return !type.isHidden()
                && (type.getPackage() == Gatherer.class.getPackage()
                        || type.getPackage() == Scheduler.class.getPackage());
    }

    /** Returns the package and class of an object, as in {@code core.Gatherer}. */
    private static String name(Object owner) {
        return owner.getClass().getName().replaceFirst("^pepperdock\\.", "");
    }

    /**
     * Over a long day queries are answered, fail, are retried and lose their clients, and workers are replaced by ones
     * with new ids. An hour after the last query nothing of them may be left, or the process would eventually run out
     * of memory.
     */
    @Test
    void nothingIsRetainedOfEndedQueriesAndDepartedWorkers() throws Exception {
        runDay(1500);
        List<String> retained = new ArrayList<>();
        Set<Object> components = components();
        Map<String, Integer> found = new TreeMap<>();
        for (Object owner : components) {
            sizes(owner).forEach((name, size) -> {
                found.merge(owner.getClass().getPackageName(), 1, Integer::sum);
                String collection = name(owner) + '.' + name;
                if (size > SIZES_AT_REST.getOrDefault(collection, 0)) {
                    retained.add(collection + ": " + size);
                }
            });
        }
        assertTrue(found.get("pepperdock.core") >= MIN_CORE_COLLECTIONS, found::toString);
        assertTrue(found.get("pepperdock.scheduler") >= MIN_SCHEDULER_COLLECTIONS, found::toString);
        assertEquals(List.of(), retained);
        assertTrue(
                replaced > 70 && fixture.answers.size() > 1000,
                replaced + " replaced, " + fixture.answers.size() + " answers");
        Object registry = components.stream()
                .filter(owner -> name(owner).equals("scheduler.EndpointRegistry"))
                .findFirst()
                .orElseThrow();
        Map<?, ?> endpoints = (Map<?, ?>) value(registry.getClass().getDeclaredField("endpoints"), registry);
        assertEquals(WORKERS, endpoints.size());
        endpoints
                .values()
                .forEach(endpoint -> assertEquals(0, sizes(endpoint).get("outstanding"), "attempts in flight"));
    }
}
