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

    /**
     * Opens the connection if both directions pass. A machine that is down does not answer; a machine whose process is
     * down refuses.
     */
    void open() {
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

    /** Returns whether it is open at both ends. */
    boolean isOpen() {
        return openAtGatherer && openAtControl;
    }

    ByteStream<FromSubscriber> toControl() {
        return toControl;
    }

    ByteStream<FromPublisher> toGatherer() {
        return toGatherer;
    }

    /** Closes it at the gatherer, also when its process ends; the other end is notified if the link passes. */
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

    /** Ends the connection at a control machine that has failed; the gatherer is not notified. */
    void failSilentlyAtControl() {
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
