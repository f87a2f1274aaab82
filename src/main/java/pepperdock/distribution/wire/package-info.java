/**
 * The publisher and the subscriber of configuration versions over TCP: transport, codec and handlers. All state is used
 * only by the event loop's thread. Not in service (docs/design/distribution.md).
 */
package pepperdock.distribution.wire;
