package pepperdock.scheduler;

/** May a part be repeated: always, only within a time as its key is recognised, or not at all. */
public enum RetrySafety {
    IDEMPOTENT,
    IDEMPOTENCY_KEY,
    NOT_IDEMPOTENT
}
