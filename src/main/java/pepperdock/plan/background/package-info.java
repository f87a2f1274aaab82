/**
 * Runs the planner of {@link pepperdock.plan} in a gatherer: when to plan is decided on the loop's thread, a plan is computed on
 * the thread "planner", and put in force on the loop's thread.
 */
package pepperdock.plan.background;
