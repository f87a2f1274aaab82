/**
 * Distribution of committed configuration versions from the control machines to every gatherer: {@link Publisher},
 * {@link Subscriber} and the messages between them, as pure state machines. They do no I/O, read no clock and start no
 * thread; the caller passes the time in milliseconds of a monotonic clock, and random numbers come from a seed. Each
 * state machine is used by a single thread only. Not in service (docs/design/distribution.md).
 */
package pepperdock.distribution;
