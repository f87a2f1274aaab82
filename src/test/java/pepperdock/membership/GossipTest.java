package pepperdock.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What is told first, and what is given up. */
class GossipTest {

    private static final int FLEET = 500;

    private static Card card(String name, Status status) {
        return new Card(name, 1, 0, status, "10.0.0.1:7400", "z", "m");
    }

    @Test
    void whatWasToldAndIsOldIsGivenUpWhatWasNotToldIsNot() {
        Gossip gossip = new Gossip();
        Card told = card("told", Status.HERE);
        Card untold = card("untold", Status.HERE);
        gossip.add(told, 0);
        assertEquals(List.of(told), gossip.take(1000, FLEET));
        gossip.add(untold, 0);
        gossip.expire(0);
        assertEquals(List.of(untold, told), gossip.take(1000, FLEET));
        gossip.add(card("other", Status.HERE), 2);
        gossip.expire(1);
        assertEquals(List.of(card("other", Status.HERE)), gossip.take(1000, FLEET));
        gossip.expire(3);
        assertTrue(gossip.isEmpty());
    }

    @Test
    void thatAMemberIsGoneGoesBeforeWhatObserversSay() {
        Gossip gossip = new Gossip();
        Links said = new Links("observer", 1, 1, false, Map.of());
        Card gone = card("gone", Status.GONE);
        gossip.add(said, 0);
        gossip.add(gone, 0);
        assertEquals(List.of(gone, said), gossip.take(1000, FLEET));
    }
}
