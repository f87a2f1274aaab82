/**
 * Consensus of a few voters on one log, after Raft (Ongaro's thesis, 2014): a pure machine that is told messages, ticks and
 * what the disk has done, and says what to send, to write and to apply. No I/O, no clock, no threads; chance from a seed.
 */
package pepperdock.store.raft;
