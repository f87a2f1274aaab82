package pepperdock.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What is told first, and what is given up. */
class GossipQueueTest {

    private static final int FLEET = 500;

    private static MemberRecord memberRecord(String name, RecordStatus status) {
        return new MemberRecord(name, 1, 0, status, "10.0.0.1:7400", "z", "m");
    }

    /**
     * Changes come faster than the budget lets gossip out. Old items that were sent already make room; those that nobody was
     * sent yet stay.
     */
    @Test
    void whatWasToldAndIsOldIsGivenUpWhatWasNotToldIsNot() {
        GossipQueue gossip = new GossipQueue();
        MemberRecord told = memberRecord("told", RecordStatus.ALIVE);
        MemberRecord untold = memberRecord("untold", RecordStatus.ALIVE);
        gossip.add(told, 0);
        assertEquals(List.of(told), gossip.take(1000, FLEET));
        gossip.add(untold, 0);
        gossip.expire(0);
        assertEquals(List.of(untold, told), gossip.take(1000, FLEET));
        gossip.add(memberRecord("other", RecordStatus.ALIVE), 2);
        gossip.expire(1);
        assertEquals(List.of(memberRecord("other", RecordStatus.ALIVE)), gossip.take(1000, FLEET));
        gossip.expire(3);
        assertTrue(gossip.isEmpty());
    }

    /**
     * Many members fail at once and all their observers speak. The verdicts go first: they end the need for the rest.
     */
    @Test
    void thatAMemberIsGoneGoesBeforeWhatObserversSay() {
        GossipQueue gossip = new GossipQueue();
        Observations said = new Observations("observer", 1, 1, false, Map.of());
        MemberRecord gone = memberRecord("gone", RecordStatus.FAULTY);
        gossip.add(said, 0);
        gossip.add(gone, 0);
        assertEquals(List.of(gone, said), gossip.take(1000, FLEET));
    }
}
