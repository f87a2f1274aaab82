/**
 * Running estimates and token buckets that the scheduler reads: means, rates, budgets. They decide nothing, do no
 * I/O and read no clock: each call is given the time, in seconds of one clock that never runs backwards.
 */
package pepperdock.estimate;
