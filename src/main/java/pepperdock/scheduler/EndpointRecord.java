package pepperdock.scheduler;

import java.util.ArrayList;
import java.util.List;
import pepperdock.estimate.WarmUpAllowance;

/**
 * An endpoint as this instance knows it: the contents of the endpoint list, and what this instance's own attempts have
 * shown. Plain data; times are seconds on the batch clock.
 */
final class EndpointRecord {

    /** Id in the endpoint list. */
    final String id;

    /** Zone that it runs in. */
    int zone;

    /** Cell of the {@link ReplicaLayout} that it belongs to. */
    int cell;

    /** Whether it is listed as healthy, so that new attempts may go to it. */
    boolean usable;

    /** Whether it is listed and not removed. */
    boolean listed;

    /** When its slow start began, negative infinity if no start is known. */
    double startedAtS = Double.NEGATIVE_INFINITY;

    /** This instance's allowance during the slow start; null before the first slow start. */
    WarmUpAllowance warmUpAllowance;

    /** Moving average of failures, 0 to 1. */
    double failureRate;

    /** Whether it refuses connections or has given no answer while others answered; cleared by its next answer. */
    boolean unreachable;

    /** Whether its last response was an error, so that it is reachable and responds quickly. */
    boolean respondsWithErrors;

    /** Earliest time of the next trial while it is ejected. */
    double nextTrialAtS;

    /** Current backoff between two trials, in seconds. */
    double trialBackoffS;

    /** When it last answered a part. */
    double lastOkAtS = Double.NEGATIVE_INFINITY;

    /** Send time of the latest attempt that it answered in time. */
    double lastTimelySentAtS = Double.NEGATIVE_INFINITY;

    /** The last call to it; null before the first. */
    CallState lastCall;

    /** When an attempt at it last ended; its connection may have been idle since then. */
    double lastUsedAtS = Double.NEGATIVE_INFINITY;

    /** Whether the last call got no answer, so that its connection is not trusted. */
    boolean lastCallUnanswered;

    /** Attempts without a result, in order of sending. */
    final List<AttemptState> outstanding = new ArrayList<>();

    EndpointRecord(String id) {
        this.id = id;
    }
}
