package pepperdock.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import pepperdock.config.DeploymentSettings;
import pepperdock.config.TestDeploymentSettings;
import pepperdock.scheduler.AttemptOutcome;

/** Changes the list of classes while queries are in flight, whose class has another number afterwards, or none. */
class ChangedClassesTest {

    private static final String HISTORY =
            "{\"Name\":\"history-search\",\"GoalTimeS\":1.5,\"DeadlineS\":3,\"Effect\":\"read_like\",\"LateWorth\":0.1,\"Worth\":3}";
    private static final String REPORT =
            "{\"Name\":\"payout-report\",\"GoalTimeS\":2.5,\"DeadlineS\":6,\"Effect\":\"read_like\",\"LateWorth\":0.3,\"Worth\":5}";
    private static final String ADJUST =
            "{\"Name\":\"balance-adjust\",\"GoalTimeS\":1.5,\"DeadlineS\":3,\"Effect\":\"idempotency_key\",\"WindowS\":1.5,\"Worth\":1}";

    private final GathererFixture fixture = new GathererFixture();

    private enum Change {
        DROP_FIRST(REPORT, ADJUST),
        DROP_UNUSED(HISTORY, ADJUST),
        DROP_ALL_BUT_FIRST(HISTORY),
        ADD_FIRST(ADJUST.replace("balance-adjust", "new"), HISTORY, REPORT, ADJUST),
        REORDER(ADJUST, REPORT, HISTORY);

        private final String classes;
        private final int count;

        Change(String... classes) {
            this.classes = String.join(",", classes);
            count = classes.length;
        }

        private DeploymentSettings settings() {
            String ones = "1" + ",1".repeat(count - 1);
            String zeros = "0" + ",0".repeat(count - 1);
            return TestDeploymentSettings.with(TestDeploymentSettings.SETTINGS
                    .replaceAll("(?s)\"RequestClasses\":\\[.*?]", "\"RequestClasses\":[" + classes + "]")
                    .replace("\"FloorByClass\":[0.6,1,1]", "\"FloorByClass\":[" + ones + "]")
                    .replace("\"NeedByClass\":[1,1,1]", "\"NeedByClass\":[" + ones + "]")
                    .replace("\"SecondStep\":[0,0,0]", "\"SecondStep\":[" + zeros + "]")
                    .replace("\"ShortWorth\":[0.95,0.9,0.9]", "\"ShortWorth\":[" + ones + "]"));
        }
    }

    /**
     * Guards against parts that are sent again although they were answered, up to the limit of attempts, and clients
     * that are told of a failure, because the estimates no longer had the number of an open query's class.
     */
    @ParameterizedTest
    @EnumSource(Change.class)
    void partAnsweredAfterAChangeOfTheClassesIsNotSentAgain(Change change) {
        for (int queryClass = 0; queryClass < 3; queryClass++) {
            fixture.submit(queryClass, 3, 1);
        }
        fixture.clock.advance(0.01);
        List<Attempt> sent = fixture.attemptsInFlight();
        assertEquals(3, sent.size());
        DeploymentSettings changed = change.settings();
        fixture.gatherer.updateSettings(changed.scheduler(), changed.classes());
        fixture.clock.advance(0.1);
        sent.forEach(attempt -> fixture.endAttempt(attempt, AttemptOutcome.OK));
        fixture.clock.advance(4);
        assertEquals(List.of("answered true 1", "answered true 1", "answered true 1"), fixture.answers);
        assertEquals(List.of(), fixture.attemptsInFlight());
        assertEquals(3, fixture.calls.stream().mapToInt(List::size).sum(), "sends");
        assertEquals(0, fixture.gatherer.metrics().internalFailures());
    }

    /** Guards against a part that fails after the change and is not retried, for the same reason. */
    @ParameterizedTest
    @EnumSource(Change.class)
    void partThatFailsAfterAChangeOfTheClassesIsRetried(Change change) {
        fixture.submit(2, 3, 1);
        fixture.clock.advance(0.01);
        DeploymentSettings changed = change.settings();
        fixture.gatherer.updateSettings(changed.scheduler(), changed.classes());
        fixture.attemptsInFlight().forEach(attempt -> fixture.endAttempt(attempt, AttemptOutcome.ERROR));
        fixture.clock.advance(0.1);
        assertEquals(1, fixture.attemptsInFlight().size());
        fixture.attemptsInFlight().forEach(attempt -> fixture.endAttempt(attempt, AttemptOutcome.OK));
        fixture.clock.advance(0.1);
        assertEquals(List.of("answered true 1"), fixture.answers);
    }

    /** A second change arrives while a query of the first settings is open, and the number of its class comes back. */
    @Test
    void queryOutlivesSeveralChangesOfTheClasses() {
        fixture.submit(2, 3, 1);
        fixture.clock.advance(0.01);
        for (Change change : Change.values()) {
            DeploymentSettings changed = change.settings();
            fixture.gatherer.updateSettings(changed.scheduler(), changed.classes());
            fixture.clock.advance(0.01);
        }
        fixture.attemptsInFlight().forEach(attempt -> fixture.endAttempt(attempt, AttemptOutcome.OK));
        fixture.clock.advance(0.1);
        assertEquals(List.of("answered true 1"), fixture.answers);
    }
}
