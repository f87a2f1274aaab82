/**
 * Sockets: the event loop, TCP connections with one bounded buffer each, datagrams, and HTTP servers and clients on
 * top.
 *
 * <p>{@link pepperdock.transport.EventLoop} is the one I/O thread. It owns every connection, timer and callback, so
 * nothing here locks; other threads hand work over with {@link pepperdock.transport.EventLoop#execute}. Bytes are
 * parsed by {@code pepperdock.codec}, which does no I/O. The number of descriptors is capped, separately for clients
 * and workers.
 */
package pepperdock.transport;
