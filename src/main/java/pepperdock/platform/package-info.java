/**
 * The platform's protocols: the HTTP front for its clients ({@link pepperdock.platform.PlatformFront}), the client for
 * its workers' binary frames ({@link pepperdock.platform.FrameBackend}), the watch on its endpoint list
 * ({@link pepperdock.platform.EndpointWatch}), and the warm-up of the JVM before the first client
 * ({@link pepperdock.platform.JvmWarmup}).
 *
 * <p>Each protocol is parsed and encoded in a single class: {@link pepperdock.platform.ClientProtocol},
 * {@link pepperdock.platform.WorkerProtocol} and {@link pepperdock.platform.DiscoveryProtocol}. All other classes use
 * the terms of the core. All state belongs to the thread of one {@link pepperdock.transport.EventLoop}; there are no
 * locks.
 */
package pepperdock.platform;
