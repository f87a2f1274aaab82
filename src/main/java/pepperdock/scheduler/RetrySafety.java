package pepperdock.scheduler;

/** Tells whether a part may be repeated. */
public enum RetrySafety {
    /** A repeat has no further effect. */
    IDEMPOTENT,
    /** A repeat is recognised by its key, within {@link QueryClass#idempotencyWindowS}. */
    IDEMPOTENCY_KEY,
    /** A repeat may have a second effect. */
    NOT_IDEMPOTENT
}
