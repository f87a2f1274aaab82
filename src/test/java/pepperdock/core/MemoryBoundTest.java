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
 * Memory over a long day: the core and the scheduler forget queries, parts, attempts and workers that have ended. Checked by
 * reflection over all their maps and collections, so that those added later are covered; each that may hold something at rest
 * is named with its size.
 */
class MemoryBoundTest {

    private static final int WORKERS = 4;
    /** Sizes without a query in flight: the list, the classes, and the scheduler's records of workers, cells and zones. */
    private static final Map<String, Integer> AT_REST = Map.of(
            "core.KnownEndpoints.hosts", WORKERS,
            "core.Metrics.endedByClass", 3,
            "scheduler.EndpointRegistry.endpoints", WORKERS,
            "scheduler.EndpointRegistry.usableByCell", WORKERS,
            "scheduler.OutlierDetector.zones", 1);

    /** Maps and collections that there are at least: fewer would mean that the search has missed some. */
    private static final int CORE_COLLECTIONS = 10;

    private static final int SCHEDULER_COLLECTIONS = 8;

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

    /** Replaces a worker by one with a new id, as at a release. */
    private void replace() {
        int cell = replaced % WORKERS;
        String old = replaced < WORKERS ? "w" + cell : "n" + (replaced - WORKERS);
        fixture.gatherer.onEndpointList(
                EndpointListKind.CHANGES,
                List.of(
                        new WorkerEndpoint(old, "127.0.0.1:1", 0, 0, cell, EndpointState.REMOVED, 1, 0),
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

    private void day(int queries) {
        AttemptOutcome[] ends = {
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
                    fixture.endAttempt(attempt, ends[random.nextInt(ends.length)]);
                }
            }
            if (random.nextInt(10) == 0) {
                fixture.gatherer.onClientGone(query);
            }
            if (i % 20 == 0) {
                replace();
            }
            fixture.calls.clear();
        }
        fixture.clock.advance(3600);
        // A worker that left with attempts in flight is forgotten with the next list.
        fixture.gatherer.onEndpointList(EndpointListKind.CHANGES, List.of());
        fixture.clock.advance(60);
    }

    private static Object value(Field field, Object of) {
        return assertDoesNotThrow(() -> {
            field.setAccessible(true);
            return field.get(of);
        });
    }

    private static Map<String, Integer> sizes(Object of) {
        Map<String, Integer> sizes = new TreeMap<>();
        for (Field field : of.getClass().getDeclaredFields()) {
            Object held = Modifier.isStatic(field.getModifiers()) ? null : value(field, of);
            if (held instanceof Map<?, ?> map) {
                sizes.put(field.getName(), map.size());
            } else if (held instanceof Collection<?> collection) {
                sizes.put(field.getName(), collection.size());
            }
        }
        return sizes;
    }

    /**
     * The objects of the core and of the scheduler that the gatherer is made of. Its clock and its backend are the fixture's,
     * and the settings are immutable.
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

    /** Package and class, as in {@code core.Gatherer}. */
    private static String name(Object owner) {
        return owner.getClass().getName().replaceFirst("^pepperdock\\.", "");
    }

    /**
     * A long day: queries are answered, fail, are retried and lose their clients, and workers are replaced by new ones with ids
     * of their own. An hour after the last nothing of them is left, or the process would run out of memory in time.
     */
    @Test
    void nothingIsRetainedOfEndedQueriesAndDepartedWorkers() throws Exception {
        day(1500);
        List<String> kept = new ArrayList<>();
        Set<Object> components = components();
        Map<String, Integer> found = new TreeMap<>();
        for (Object owner : components) {
            sizes(owner).forEach((name, size) -> {
                found.merge(owner.getClass().getPackageName(), 1, Integer::sum);
                String collection = name(owner) + '.' + name;
                if (size > AT_REST.getOrDefault(collection, 0)) {
                    kept.add(collection + ": " + size);
                }
            });
        }
        assertTrue(found.get("pepperdock.core") >= CORE_COLLECTIONS, found::toString);
        assertTrue(found.get("pepperdock.scheduler") >= SCHEDULER_COLLECTIONS, found::toString);
        assertEquals(List.of(), kept);
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
