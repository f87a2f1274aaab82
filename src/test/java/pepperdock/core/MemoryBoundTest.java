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
import pepperdock.scheduler.SchedulerSettings;

/**
 * Memory over a long day: the core and the scheduler forget queries, parts, attempts and workers that have ended. Checked by
 * reflection over all their maps and collections, so that those added later are covered; each that may hold something at rest
 * is named with its size.
 */
class MemoryBoundTest {

    private static final int WORKERS = 4;
    /** Sizes without a query in flight: the list, the classes, and the scheduler's records of workers, cells and zones. */
    private static final Map<String, Integer> AT_REST =
            Map.of("hosts", WORKERS, "endedByClass", 3, "endpoints", WORKERS, "usableByCell", WORKERS, "zones", 1);

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

    private Object scheduler() throws NoSuchFieldException {
        return value(Gatherer.class.getDeclaredField("scheduler"), fixture.gatherer);
    }

    /**
     * An object and those of its package that it is made of. The clock and the backend are the fixture's; the settings are
     * immutable.
     */
    private Set<Object> components(Object root) {
        Set<Object> found = Collections.newSetFromMap(new IdentityHashMap<>());
        addComponents(root, found);
        return found;
    }

    private void addComponents(Object owner, Set<Object> found) {
        if (owner == fixture || owner == fixture.clock || owner instanceof SchedulerSettings || !found.add(owner)) {
            return;
        }
        for (Field field : owner.getClass().getDeclaredFields()) {
            Object component = Modifier.isStatic(field.getModifiers()) ? null : value(field, owner);
            if (component != null
                    && component.getClass().getPackage() == owner.getClass().getPackage()
                    && !component.getClass().isHidden()) {
                addComponents(component, found);
            }
        }
    }

    /** Adds the maps and collections that hold more than at rest, and returns how many were looked at. */
    private static int addKept(Set<Object> owners, List<String> kept) {
        int found = 0;
        for (Object owner : owners) {
            Map<String, Integer> sizes = sizes(owner);
            found += sizes.size();
            sizes.forEach((name, size) -> {
                if (size > AT_REST.getOrDefault(name, 0)) {
                    kept.add(owner.getClass().getSimpleName() + '.' + name + ": " + size);
                }
            });
        }
        return found;
    }

    /**
     * A long day: queries are answered, fail, are retried and lose their clients, and workers are replaced by new ones with ids
     * of their own. An hour after the last nothing of them is left, or the process would run out of memory in time.
     */
    @Test
    void nothingIsRetainedOfEndedQueriesAndDepartedWorkers() throws Exception {
        day(1500);
        List<String> kept = new ArrayList<>();
        int inCore = addKept(components(fixture.gatherer), kept);
        assertTrue(inCore >= 10, inCore + " maps found in the core");
        int inScheduler = addKept(components(scheduler()), kept);
        assertTrue(inScheduler >= 8, inScheduler + " maps found in the scheduler");
        assertEquals(List.of(), kept);
        assertTrue(
                replaced > 70 && fixture.answers.size() > 1000,
                replaced + " replaced, " + fixture.answers.size() + " answers");
        Object registry = value(scheduler().getClass().getDeclaredField("registry"), scheduler());
        Map<?, ?> endpoints = (Map<?, ?>) value(registry.getClass().getDeclaredField("endpoints"), registry);
        assertEquals(WORKERS, endpoints.size());
        endpoints
                .values()
                .forEach(endpoint -> assertEquals(0, sizes(endpoint).get("outstanding"), "attempts outstanding"));
    }
}
