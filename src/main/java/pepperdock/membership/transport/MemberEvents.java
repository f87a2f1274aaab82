package pepperdock.membership.transport;

import java.util.List;
import pepperdock.events.Events;
import pepperdock.membership.Card;
import pepperdock.membership.Output;
import pepperdock.membership.Settings;
import pepperdock.membership.View;

/** What the membership tells, as events; the same words from a real process and from simulated time. */
public final class MemberEvents {

    private MemberEvents() {}

    /** A process begins, with this budget. */
    public static void begins(Events events, Card self, Settings settings) {
        events.write(
                "life",
                "name",
                self.name(),
                "life",
                Long.toHexString(self.life()),
                "datagrams_per_s",
                settings.datagramsPerS(),
                "bytes_per_s",
                settings.bytesPerS(),
                "bears_s",
                settings.pauseS());
    }

    /** All that came at once has been told: what now stands is a view, what stood between two changes of it is none. */
    public static void told(Events events, List<Output> all) {
        if (events.isEnabled() && all.stream().anyMatch(o -> o instanceof Output.Changed)) {
            events.write("told");
        }
    }

    /** Whatever of an output is an event. */
    public static void tell(Events events, Output o) {
        if (o instanceof Output.Changed c) {
            View.Change x = c.change();
            events.write(
                    "change",
                    "no",
                    x.number(),
                    "name",
                    x.name(),
                    "life",
                    Long.toHexString(x.life()),
                    "incarnation",
                    x.incarnation(),
                    "from",
                    x.from() == null ? "" : x.from(),
                    "to",
                    x.to(),
                    "why",
                    x.why());
        } else if (o instanceof Output.Sure s) {
            events.write("sure", "sure", s.sure(), "reached", s.reached(), "fleet", s.fleet());
        } else if (o instanceof Output.Noted n) {
            events.write(n.what(), "why", n.why(), "amount", n.amount());
        }
    }
}
