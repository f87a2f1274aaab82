package pepperdock.scheduler;

import java.util.ArrayList;
import java.util.List;
import pepperdock.estimate.WarmUpAllowance;

/**
 * An endpoint as this instance knows it: what the endpoint list says, and what its own attempts have shown. Plain data;
 * times are seconds on the batch clock.
 */
final class EndpointRecord {

    /** Id in the endpoint list. */
    final String id;

    /** Zone that it stands in. */
    int zone;

    /** Cell of the {@link ReplicaLayout} that it belongs to. */
    int cell;

    /** Listed as healthy: new attempts may go to it. */
    boolean usable;

    /** Listed and not removed. */
    boolean listed;

    /** Start of the slow start, negative infinity where none is known. */
    double startedAtS = Double.NEGATIVE_INFINITY;

    /** This instance's allowance during the slow start; null before the first one. */
    WarmUpAllowance warmUp;

    /** Moving average of failures, 0 to 1. */
    double failureRate;

    /** Refuses connections, or has been silent while others answered; until its next answer. */
    boolean unreachable;

    /** Its last response was an error: it is reachable and answers quickly. */
    boolean respondsWithErrors;

    /** Earliest time of the next trial while it is ejected. */
    double nextTrialAtS;

    /** Present pause between two trials, in seconds. */
    double trialBackoffS;

    /** When it last answered a part. */
    double lastOkAtS = Double.NEGATIVE_INFINITY;

    /** When the last attempt that it answered in time was sent. */
    double lastTimelySentAtS = Double.NEGATIVE_INFINITY;

    /** The last call to it; null before the first. */
    CallState lastCall;

    /** When an attempt at it last ended: since then its connection may be idle. */
    double lastUsedAtS = Double.NEGATIVE_INFINITY;

    /** The last call stayed without an answer, so its connection is not trusted. */
    boolean lastCallUnanswered;

    /** Attempts without a result, in order of sending. */
    final List<AttemptState> outstanding = new ArrayList<>();

    EndpointRecord(String id) {
        this.id = id;
    }
}
