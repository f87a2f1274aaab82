/**
 * Raft in simulated time: the state machines of {@code store.raft} among messages that are lost, late and doubled, disks that
 * sync late, fail or are gone, and processes that end at any moment; what must never be is checked after every step.
 */
package pepperdock.simulation.raft;
