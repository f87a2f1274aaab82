package pepperdock.scheduler;

/**
 * A query that has arrived; its parts follow in the same batch.
 *
 * @param id the caller's id of the query, by which actions name it
 * @param queryClass index into {@link SchedulerSettings#classes}
 * @param tenant index into {@link SchedulerSettings#tenantRates}, negative where the query has none
 * @param idempotencyKey key under which workers recognise a repeat, empty where the class has none
 * @param remainingS seconds until the client gives up this request
 * @param sequenceNumber number by which {@link PartArrival} names the query
 * @param partCount parts that follow
 */
public record QueryArrival(
        long id,
        int queryClass,
        int tenant,
        String idempotencyKey,
        double remainingS,
        long sequenceNumber,
        int partCount) {}
