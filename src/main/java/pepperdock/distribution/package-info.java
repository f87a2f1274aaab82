/**
 * Distribution of settled configuration versions from the control machines to every gatherer: a publisher, a subscriber and
 * the messages between them, as pure machines. No I/O, no clock, no threads; time is told in milliseconds of one monotonic
 * clock a machine, chance comes from a seed. Not in service (docs/design/distribution.md).
 */
package pepperdock.distribution;
