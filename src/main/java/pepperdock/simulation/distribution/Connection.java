package pepperdock.simulation.distribution;

import pepperdock.distribution.DistributionMessage.FromPublisher;
import pepperdock.distribution.DistributionMessage.FromSubscriber;

/** A transport connection of a gatherer to a control machine. */
final class Connection {

    private final Timeline time;
    private final Network network;
    private final long number;
    private final GathererNode gatherer;
    private final ControlNode control;
    private final ByteStream<FromSubscriber> toControl;
    private final ByteStream<FromPublisher> toGatherer;
    private boolean openAtGatherer = true;
    private boolean openAtControl = true;

    Connection(Timeline time, Network network, long number, GathererNode gatherer, ControlNode control) {
        this.time = time;
        this.network = network;
        this.number = number;
        this.gatherer = gatherer;
        this.control = control;
        toControl = new ByteStream<>(time, network, gatherer.place(), control.place(), m -> control.received(this, m));
        toGatherer =
                new ByteStream<>(time, network, control.place(), gatherer.place(), m -> gatherer.received(this, m));
    }

    /** Opens it where both directions pass; a machine that is gone answers nothing, one without the process refuses. */
    void begin() {
        Place here = gatherer.place();
        Place there = control.place();
        if (!network.passes(here, there) || !network.passes(there, here) || !control.answers()) {
            return;
        }
        time.after(network.delay(here, there), () -> {
            if (!control.up()) {
                time.after(network.delay(there, here), this::endAtGatherer);
                return;
            }
            control.opened(this);
            time.after(network.delay(there, here), () -> gatherer.connected(this));
        });
    }

    long number() {
        return number;
    }

    /** Whether both ends have it. */
    boolean open() {
        return openAtGatherer && openAtControl;
    }

    ByteStream<FromSubscriber> toControl() {
        return toControl;
    }

    ByteStream<FromPublisher> toGatherer() {
        return toGatherer;
    }

    /** The gatherer has closed it, or its process has ended; the other end hears of it if it can. */
    void closeByGatherer() {
        openAtGatherer = false;
        toGatherer.close();
        if (network.passes(gatherer.place(), control.place())) {
            time.after(network.delay(gatherer.place(), control.place()), () -> control.closed(this));
        }
    }

    void closeByControl() {
        openAtControl = false;
        toControl.close();
        if (network.passes(control.place(), gatherer.place())) {
            time.after(network.delay(control.place(), gatherer.place()), this::endAtGatherer);
        }
    }

    void resetByControl() {
        toGatherer.close();
        closeByControl();
    }

    /** The control machine is gone without a word. */
    void silentFromControl() {
        openAtControl = false;
        toControl.close();
        toGatherer.close();
    }

    private void endAtGatherer() {
        if (openAtGatherer) {
            openAtGatherer = false;
            gatherer.ended(this);
        }
    }
}
