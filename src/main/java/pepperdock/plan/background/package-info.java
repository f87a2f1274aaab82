/**
 * Runs the planner of {@link pepperdock.plan} in a gatherer. The loop's thread decides when to plan, the thread
 * "planner" computes the plan, and the loop's thread puts it in use.
 */
package pepperdock.plan.background;
