/**
 * The publisher and the subscriber of configuration versions over TCP, on the one loop of a process. Not in service
 * (docs/design/distribution.md).
 */
package pepperdock.distribution.wire;
