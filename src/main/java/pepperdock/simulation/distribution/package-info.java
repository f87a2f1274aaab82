/**
 * Simulation of configuration distribution in simulated time: control machines with the consensus of {@code store.raft},
 * subscriber-only gatherers, the links between them, and named fault schedules. Invariants are checked on the recorded history.
 * A run is reproducible from its seed. Not part of the program in service.
 */
package pepperdock.simulation.distribution;
