/**
 * The gatherers' small replicated store of settings and the endpoint list, with one configured leader.
 * {@link pepperdock.store.Store} is the entry point; it and the connections belong to the loop's thread. The consensus of
 * {@link pepperdock.store.raft} is not used by it.
 */
package pepperdock.store;
