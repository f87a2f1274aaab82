package pepperdock.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Priorities and limits of what a member may send. */
class BandwidthBudgetTest {

    private static final MembershipSettings SETTINGS =
            new MembershipSettings(0.5, 3, 3, 8, 0.75, 2, 3, 0.5, 30, 3600, 100, 10_000, 2000, true);

    private static int sendAllPossible(BandwidthBudget budget, BandwidthBudget.Use use) {
        int sent = 0;
        while (budget.tryAcquireDatagram(use, 100)) {
            sent++;
        }
        return sent;
    }

    /**
     * A burst of gossip uses up its part of the budget. Acknowledgements and pings still go out, as their delay would
     * look like a failure.
     */
    @Test
    void higherPriorityCanSendAfterLowerPrioritiesUsedTheirBudget() {
        BandwidthBudget budget = new BandwidthBudget(SETTINGS, 0);
        for (BandwidthBudget.Use use : List.of(
                BandwidthBudget.Use.GOSSIP,
                BandwidthBudget.Use.JOIN_RESPONSE,
                BandwidthBudget.Use.INDIRECT,
                BandwidthBudget.Use.PROBE,
                BandwidthBudget.Use.ACK)) {
            assertTrue(sendAllPossible(budget, use) > 0, use + " could send nothing");
            assertEquals(0, budget.availableBytes(use) / 100, use + " left bytes that it could have sent");
        }
        assertFalse(budget.tryAcquireDatagram(BandwidthBudget.Use.ACK, 100));
    }

    /** Many members open exchanges at once. Exchanges stop at their share, and pings still find room. */
    @Test
    void exchangesAreLimitedToTheirShare() {
        BandwidthBudget budget = new BandwidthBudget(SETTINGS, 0);
        int availableBytes = budget.availableBytes(BandwidthBudget.Use.EXCHANGE);
        assertEquals(3500, availableBytes);
        budget.chargeStream(availableBytes);
        assertEquals(0, budget.availableBytes(BandwidthBudget.Use.EXCHANGE));
        assertTrue(budget.availableBytes(BandwidthBudget.Use.PROBE) >= 1000);
        budget.refill(0.1);
        assertEquals(350, budget.availableBytes(BandwidthBudget.Use.EXCHANGE));
    }

    /** A member that tries to send all it can stays within one and a half times the rate in every second. */
    @Test
    void anySecondCarriesAtMostOneAndAHalfTimesTheRate() {
        BandwidthBudget budget = new BandwidthBudget(SETTINGS, 0);
        List<Long> sent = new ArrayList<>();
        for (int tick = 0; tick < 80; tick++) {
            budget.refill(tick / 8.0);
            for (BandwidthBudget.Use use : BandwidthBudget.Use.values()) {
                sendAllPossible(budget, use);
            }
            budget.chargeStream(budget.availableBytes(BandwidthBudget.Use.EXCHANGE));
            sent.add(budget.sentBytes());
            if (tick >= 8) {
                assertTrue(sent.get(tick) - sent.get(tick - 8) <= 15_000);
            }
        }
        assertTrue(budget.sentBytes() > 9 * 10_000);
    }
}
