/**
 * The gatherer: takes queries from the fronts, has {@link pepperdock.scheduler.Scheduler} decide, and carries the decisions out.
 *
 * <p>{@link pepperdock.core.Gatherer} is the entry point of fronts, backends and endpoint discovery. Behind it each class has
 * one job: {@code QueryLifecycle} accepts and ends queries, {@code QueryRegistry} holds those in flight, {@code
 * AttemptLifecycle} gives each attempt its one outcome, {@code CallDispatcher} sends attempts in calls, {@code EventBatcher}
 * reports events to the scheduler in batches, {@code DecisionExecutor} carries out its decisions, {@code EndpointRegistry}
 * keeps the endpoint list and the operators' bans, and {@code SettingsHolder} the settings in force.
 *
 * <p>The package knows no wire: it deals in queries, parts, attempts and outcomes. All of its state is owned by the one thread
 * of the gatherer's {@link pepperdock.core.Clock} (the I/O thread in service) and needs no locks; every method is called on
 * that thread. Times are seconds on that clock, durations are seconds.
 */
package pepperdock.core;
