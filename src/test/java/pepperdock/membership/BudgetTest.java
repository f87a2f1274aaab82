package pepperdock.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What goes before what when a member may send little. */
class BudgetTest {

    private static final Settings SETTINGS =
            new Settings(0.5, 3, 3, 8, 0.75, 2, 3, 0.5, 30, 3600, 100, 10_000, 2000, true);

    private static int drained(Budget budget, Budget.Use use) {
        int sent = 0;
        while (budget.datagram(use, 100)) {
            sent++;
        }
        return sent;
    }

    @Test
    void whatGoesBeforeFindsRoomWhateverWasTakenAfterIt() {
        Budget budget = new Budget(SETTINGS, 0);
        for (Budget.Use use : List.of(
                Budget.Use.GOSSIP, Budget.Use.WELCOME, Budget.Use.INDIRECT, Budget.Use.PROBE, Budget.Use.ANSWER)) {
            assertTrue(drained(budget, use) > 0, use + " finds none");
            assertEquals(0, budget.room(use) / 100, use + " leaves some");
        }
        assertFalse(budget.datagram(Budget.Use.ANSWER, 100));
    }

    @Test
    void whatIsHeldToAShareLeavesTheRest() {
        Budget budget = new Budget(SETTINGS, 0);
        int room = budget.room(Budget.Use.EXCHANGE);
        assertEquals(3500, room);
        budget.stream(room);
        assertEquals(0, budget.room(Budget.Use.EXCHANGE));
        assertTrue(budget.room(Budget.Use.PROBE) >= 1000);
        budget.fill(0.1);
        assertEquals(350, budget.room(Budget.Use.EXCHANGE));
    }

    /** Whatever is tried, in no second more than half as much again goes out as the rate says. */
    @Test
    void noSecondHasMoreThanHalfAsMuchAgain() {
        Budget budget = new Budget(SETTINGS, 0);
        List<Long> sent = new ArrayList<>();
        for (int tick = 0; tick < 80; tick++) {
            budget.fill(tick / 8.0);
            for (Budget.Use use : Budget.Use.values()) {
                drained(budget, use);
            }
            budget.stream(budget.room(Budget.Use.EXCHANGE));
            sent.add(budget.sentBytes());
            if (tick >= 8) {
                assertTrue(sent.get(tick) - sent.get(tick - 8) <= 15_000);
            }
        }
        assertTrue(budget.sentBytes() > 9 * 10_000);
    }
}
