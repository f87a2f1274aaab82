/**
 * Explores Raft at random in simulated time: the state machines of {@code store.raft} exchange messages that may be
 * lost, delayed or duplicated, disks sync late, fail or are lost, and processes crash at any step. The safety
 * invariants are checked after every step.
 */
package pepperdock.simulation.raft;
