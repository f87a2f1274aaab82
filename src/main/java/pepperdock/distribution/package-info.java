/**
 * Distribution of settled configuration versions from the control machines to every gatherer: {@link Publisher},
 * {@link Subscriber} and the messages between them, as pure state machines. They do no I/O, read no clock and start no thread;
 * the caller passes the time in milliseconds of a monotonic clock, and random numbers come from a seed. All state of one machine
 * belongs to the one thread that calls it. Not in service (docs/design/distribution.md).
 */
package pepperdock.distribution;
