/**
 * Running estimates and token buckets that the scheduler reads: means, rates, budgets. The classes make no decisions,
 * do no I/O and read no clock: each call is given the time, in seconds of one clock that never runs backwards.
 */
package pepperdock.estimate;
