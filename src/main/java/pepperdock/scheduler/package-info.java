/**
 * The decisions of a gatherer: which endpoint each part of a query is sent to, when it is retried or hedged, and when a
 * query is answered, rejected or failed.
 *
 * <p>{@link pepperdock.scheduler.Scheduler} receives events and calls back
 * {@link pepperdock.scheduler.SchedulerActions}. It is implemented by one class for each policy, whose comment gives
 * the rule, its inputs and units, the failure that it guards against, and when it does harm; {@code AdaptiveScheduler}
 * connects them. The package does no I/O, starts no thread and reads no clock. All state of an instance is owned by one
 * thread. Times are seconds on the clock of {@link pepperdock.scheduler.Scheduler#beginBatch}.
 *
 * <p>"The RMAP paper" is Lin, Ma, Li, Yu and Samatova: Adaptive Request Scheduling for Parallel Scientific Web
 * Services.
 */
package pepperdock.scheduler;
