package pepperdock.scheduler;

/** One attempt at a part. Plain data; times are seconds on the batch clock. */
final class AttemptState {

    /** Part that is attempted. */
    final PartState part;

    /** Number among the attempts at the part, from 0. */
    final int number;

    /** Endpoint that the attempt was sent to. */
    final EndpointRecord endpoint;

    /** Call that carries the attempt. */
    final CallState call;

    /** When the attempt was sent. */
    final double sentAtS;

    /** Out for longer than {@link OverdueDetector#overdueAfterS}. */
    boolean overdue;

    /** Out for so long that queueing at the endpoint does not explain it. */
    boolean lost;

    /** The caller has been asked to cancel it. */
    boolean cancelRequested;

    /** Sent to an ejected endpoint to find out whether it has recovered. */
    boolean trial;

    /** How it ended; null while it is outstanding. */
    AttemptOutcome outcome;

    AttemptState(PartState part, EndpointRecord endpoint, CallState call) {
        this.part = part;
        number = part.attempts.size();
        this.endpoint = endpoint;
        this.call = call;
        sentAtS = call.sentAtS;
    }

    /** Whether the attempt may have had an effect at the endpoint. */
    boolean mayHaveExecuted() {
        return outcome == null || !outcome.neverExecuted();
    }
}
