/**
 * Raft consensus (Diego Ongaro, "Consensus: Bridging Theory and Practice", 2014; cited as "thesis" with its sections)
 * as a pure state machine. {@link pepperdock.store.raft.RaftServer} takes messages, ticks and finished disk writes, and
 * returns what to send, to write and to apply. It does no I/O, reads no clock and starts no thread; random numbers come
 * from a seed. All state of one server is used only on the thread that calls it.
 */
package pepperdock.store.raft;
