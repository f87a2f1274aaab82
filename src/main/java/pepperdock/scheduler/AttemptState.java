package pepperdock.scheduler;

/** One attempt at a part. Plain data; times are seconds on the batch clock. */
final class AttemptState {

    /** Part that the attempt is for. */
    final PartState part;

    /** Number among the attempts at the part, from 0. */
    final int number;

    /** Endpoint that the attempt was sent to. */
    final EndpointRecord endpoint;

    /** Call that carries the attempt. */
    final CallState call;

    /** When the attempt was sent. */
    final double sentAtS;

    /** Whether it has been outstanding for longer than {@link OverdueDetector#overdueAfterS}. */
    boolean overdue;

    /** Whether it has been outstanding for longer than queueing at the endpoint explains. */
    boolean lost;

    /** Whether the caller has been asked to cancel it. */
    boolean cancelRequested;

    /** Whether it was sent to an ejected endpoint to find out whether that has recovered. */
    boolean trial;

    /** Its outcome; null while it is outstanding. */
    AttemptOutcome outcome;

    AttemptState(PartState part, EndpointRecord endpoint, CallState call) {
        this.part = part;
        number = part.attempts.size();
        this.endpoint = endpoint;
        this.call = call;
        sentAtS = call.sentAtS;
    }

    /** Returns whether the attempt may have had an effect at the endpoint. */
    boolean mayHaveExecuted() {
        return outcome == null || !outcome.neverExecuted();
    }
}
