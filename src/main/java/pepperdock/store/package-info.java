/**
 * The gatherers' small replicated store of the settings and the endpoint list, with one configured leader.
 * {@link pepperdock.store.Store} is the entry point; it and its connections are used on the event loop's thread only.
 * The store does not use the consensus protocol in {@link pepperdock.store.raft}.
 */
package pepperdock.store;
