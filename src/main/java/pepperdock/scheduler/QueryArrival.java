package pepperdock.scheduler;

/**
 * A query that has arrived; its parts follow in the same batch.
 *
 * @param id the caller's id of the query, which identifies it in actions
 * @param queryClass index into {@link SchedulerSettings#classes}
 * @param tenant index into {@link SchedulerSettings#tenantRates}, negative where the query has none
 * @param idempotencyKey key by which workers recognise a repeat, empty where the class has none
 * @param remainingS seconds until the client gives up this request
 * @param sequenceNumber number by which {@link PartArrival} refers to the query
 * @param partCount number of parts that follow
 */
public record QueryArrival(
        long id,
        int queryClass,
        int tenant,
        String idempotencyKey,
        double remainingS,
        long sequenceNumber,
        int partCount) {}
