/**
 * The core of the gatherer: it accepts queries from the fronts, reports them to {@link pepperdock.scheduler.Scheduler},
 * and carries out the scheduler's decisions.
 *
 * <p>{@link pepperdock.core.Gatherer} is the entry point for fronts, backends and endpoint discovery. Behind it each
 * class has one responsibility: {@code QueryLifecycle} accepts and ends queries, {@code QueryRegistry} holds those in
 * flight, {@code AttemptLifecycle} gives each attempt its only outcome, {@code CallDispatcher} sends attempts in calls,
 * {@code EventBatcher} reports events to the scheduler in batches, {@code DecisionExecutor} carries out its decisions,
 * {@code KnownEndpoints} keeps the endpoint list and the operators' bans, and {@code SettingsHolder} keeps the current
 * settings.
 *
 * <p>The package is independent of the wire protocols: it handles queries, parts, attempts and outcomes. All of its
 * state is owned by the thread of the gatherer's {@link pepperdock.core.Clock} (the I/O thread in service) and needs no
 * locks; every method is called on that thread. Times are in seconds on that clock, durations in seconds.
 */
package pepperdock.core;
