package pepperdock.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The order in which items are gossiped, and which ones are dropped. */
class GossipQueueTest {

    private static final int FLEET = 500;

    private static MemberRecord memberRecord(String name, RecordStatus status) {
        return new MemberRecord(name, 1, 0, status, "10.0.0.1:7400", "z", "m");
    }

    /**
     * Changes come faster than the budget lets gossip out. Old items that were sent already are dropped; those that
     * have not been sent to anybody are kept.
     */
    @Test
    void oldItemsExpireOnlyOnceTheyWereSent() {
        GossipQueue queue = new GossipQueue();
        MemberRecord sent = memberRecord("sent", RecordStatus.ALIVE);
        MemberRecord unsent = memberRecord("unsent", RecordStatus.ALIVE);
        queue.add(sent, 0);
        assertEquals(List.of(sent), queue.take(1000, FLEET));
        queue.add(unsent, 0);
        queue.expire(0);
        assertEquals(List.of(unsent, sent), queue.take(1000, FLEET));
        queue.add(memberRecord("other", RecordStatus.ALIVE), 2);
        queue.expire(1);
        assertEquals(List.of(memberRecord("other", RecordStatus.ALIVE)), queue.take(1000, FLEET));
        queue.expire(3);
        assertTrue(queue.isEmpty());
    }

    /**
     * Many members fail at once, and all their observers publish. The verdicts go first, as they make the observations
     * unnecessary.
     */
    @Test
    void verdictsAreSentBeforeObservations() {
        GossipQueue queue = new GossipQueue();
        Observations observations = new Observations("observer", 1, 1, false, Map.of());
        MemberRecord verdict = memberRecord("gone", RecordStatus.FAULTY);
        queue.add(observations, 0);
        queue.add(verdict, 0);
        assertEquals(List.of(verdict, observations), queue.take(1000, FLEET));
    }
}
